// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>

#include "Courseloom/src/Core/ByteBudget.h"
#include "Courseloom/src/Transport/ConnectionPlaces.h"

namespace courseloom {

/** Changes the size of a share. While there is no room, connections are closed whose peers have kept the server waiting
 * for the longest time, up to a small number of them.
 * \param executor strand on which the caller runs; other work may run on it meanwhile
 * \returns whether there was room; if not, the size is unchanged */
boost::asio::awaitable<bool> resizeOrMakeRoom(ByteShare& share, std::uint64_t bytes, ConnectionPlaces& places,
                                              boost::asio::any_io_executor executor);

}  // namespace courseloom
