// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <string>

namespace courseloom::test {

enum class Http2Frame : std::uint8_t { Headers = 1, Settings = 4 };

/** \returns a frame of HTTP/2 (RFC 9113, section 4.1). */
inline std::string frameOf(Http2Frame type, unsigned flags, unsigned stream, const std::string& payload) {
  std::string frame;
  const auto put = [&frame](std::size_t value, unsigned bytes) {
    for (unsigned i = bytes; i > 0; --i) frame += static_cast<char>(value >> (8 * (i - 1)));
  };
  put(payload.size(), 3);
  put(static_cast<unsigned>(type), 1);
  put(flags, 1);
  put(stream, 4);
  return frame + payload;
}

/** \returns what a client sends that calls a method many times, with empty messages, and lets the server send no byte
 * of any reply. \param method at most 100 characters */
inline std::string callsWithoutWindow(const std::string& method, unsigned calls) {
  constexpr unsigned EndStreamAndHeaders = 5;
  const std::string initialWindowSize("\0\4\0\0\0\0", 6);
  std::string bytes = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frameOf(Http2Frame::Settings, 0, 0, initialWindowSize);
  // Indexed fields `:method POST` and `:scheme http`, and a literal `:path` (RFC 7541).
  const std::string path = "/" + method;
  const std::string header = std::string("\x83\x86\x04") + static_cast<char>(path.size()) + path;
  for (unsigned i = 0; i < calls; ++i) bytes += frameOf(Http2Frame::Headers, EndStreamAndHeaders, 2 * i + 1, header);
  return bytes;
}

}  // namespace courseloom::test
