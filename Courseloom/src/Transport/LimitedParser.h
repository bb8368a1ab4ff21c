// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>

namespace courseloom {

/** \class LimitedParser
 * \brief HTTP parser with a limit on the fields of a message, of its header and its trailer together.
 *
 * The parser of Boost.Beast stores each field as soon as it has arrived, and its own limit holds only for the part of a
 * header that it has not stored yet. Here a field beyond a limit ends the message with `header_limit` before it is
 * stored.
 * \tparam isRequest whether requests are read; answers otherwise
 */
template <bool isRequest>
class LimitedParser : public boost::beast::http::parser<isRequest, boost::beast::http::string_body> {
 public:
  /** Largest number of fields of a message. */
  static constexpr unsigned MaxFields = 256;

  /** \param maxTextBytes limit of the names and values of all fields together */
  explicit LimitedParser(std::uint64_t maxTextBytes) : m_maxTextBytes(maxTextBytes) {}

  /** \returns the memory of the fields that have been stored, bytes. */
  std::uint64_t fieldBytes() const { return m_textBytes + m_fields * FieldBytes; }

 private:
  /** Memory of one field beside its text. */
  static constexpr std::uint64_t FieldBytes = 96;

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
