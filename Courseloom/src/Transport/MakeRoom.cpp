// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Transport/MakeRoom.h"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace courseloom {

namespace asio = boost::asio;

namespace internal {
namespace {
/** Largest number of connections that are closed to make room for one request or answer. */
constexpr int MaxClosedForRoom = 16;
}  // namespace
}  // namespace internal

asio::awaitable<bool> resizeOrMakeRoom(ByteShare& share, std::uint64_t bytes, ConnectionPlaces& places,
                                       asio::any_io_executor executor) {
  for (int closed = 0; !share.resize(bytes); ++closed) {
    if (closed == internal::MaxClosedForRoom || !places.closeLongestIncomplete()) co_return false;
    // A connection gives its memory back on a strand of its own.
    co_await asio::post(executor, asio::use_awaitable);
  }
  co_return true;
}

}  // namespace courseloom
