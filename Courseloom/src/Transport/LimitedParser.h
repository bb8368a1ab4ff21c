// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>

namespace courseloom {

/** \class LimitedParser
 * \brief HTTP parser for whatever a peer sends, in parts of any size.
 *
 * - The parser of Boost.Beast stores each field as soon as it has arrived, and its own limit holds only for the part of
 *   a header that it has not stored yet. Here a field beyond a limit, of the header or the trailer, ends the message
 *   with `header_limit` before it is stored.
 * - That parser asserts that the last chunk of a body is followed by more bytes than a peer may have sent. Here it is
 *   not called before they have arrived.
 *
 * Messages must be parsed with take(), not with the functions of Boost.Beast that read or parse.
 * \tparam isRequest whether requests are read; answers otherwise
 */
template <bool isRequest>
class LimitedParser : public boost::beast::http::parser<isRequest, boost::beast::http::string_body> {
 public:
  /** Largest number of fields of a message. */
  static constexpr unsigned MaxFields = 256;

  /** \param maxTextBytes limit of the names and values of all fields together */
  explicit LimitedParser(std::uint64_t maxTextBytes) : m_maxTextBytes(maxTextBytes) {}

  /** Parses the bytes in a buffer, as far as possible, and removes them from it. \param buffer with a maximum, which
   * limits each part of the framing \returns an error if the message cannot become whole any more */
  boost::beast::error_code take(boost::beast::flat_buffer& buffer) {
    namespace http = boost::beast::http;
    boost::beast::error_code error;
    while (buffer.size() > 0 && !this->is_done() && !error) {
      const bool chunkedBody = this->is_header_done() && this->chunked();
      if (chunkedBody && buffer.size() < LeastChunkedRest) return {};
      buffer.consume(this->put(buffer.data(), error));
    }
    if (error != http::error::need_more) return error;
    if (buffer.size() >= buffer.max_size()) return http::error::buffer_overflow;
    return {};
  }

  /** \returns the memory of the fields that have been stored, bytes. */
  std::uint64_t fieldBytes() const { return m_textBytes + m_fields * FieldBytes; }

 private:
  /** Memory of one field beside its text. */
  static constexpr std::uint64_t FieldBytes = 96;
  /** Size of "0\r\n\r\n": at least these bytes of a chunked message that is not whole have not been parsed. */
  static constexpr std::size_t LeastChunkedRest = 5;

  void on_field_impl(boost::beast::http::field name, boost::beast::string_view text, boost::beast::string_view value,
                     boost::beast::error_code& error) override {
    m_textBytes += text.size() + value.size();
    if (++m_fields > MaxFields || m_textBytes > m_maxTextBytes) {
      error = boost::beast::http::error::header_limit;
      return;
    }
    this->get().insert(name, text, value);
  }

  const std::uint64_t m_maxTextBytes;
  std::uint64_t m_textBytes = 0;
  std::uint64_t m_fields = 0;
};

}  // namespace courseloom
