// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Client/EntryClient.h"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "Courseloom/src/Transport/HttpClient.h"

namespace courseloom {

namespace http = boost::beast::http;

namespace internal {
namespace {

/** Largest body of an answer. */
constexpr std::uint64_t MaxReplyBytes = 256ULL * 1024 * 1024;
constexpr unsigned FirstErrorStatus = 400;

std::string text_of(const google::protobuf::Struct& object, const std::string& key) {
  const auto found = object.fields().find(key);
  return found == object.fields().end() ? std::string() : found->second.string_value();
}

/** \returns the failure that a problem document describes, or PeerFailed if the body is not JSON. */
Failure read_problem(const std::string& entry, unsigned status, const std::string& body) {
  google::protobuf::Struct problem;
  if (!google::protobuf::util::JsonStringToMessage(body, &problem).ok()) {
    return Failure{FailureCode::PeerFailed, Ran::Unknown, "read answer", entry, "status " + std::to_string(status), 0};
  }
  schema::FailureInfo info;
  info.set_code(text_of(problem, "code"));
  const std::string ran = text_of(problem, "ran");
  info.set_ran(ran == "no" ? schema::RanNo : ran == "yes" ? schema::RanYes : schema::RanUnknown);
  info.set_step(text_of(problem, "step"));
  info.set_peer(text_of(problem, "peer"));
  info.set_detail(text_of(problem, "detail"));
  return fromInfo(info);
}

}  // namespace
}  // namespace internal

std::string urlEscape(const std::string& text) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
      escaped += c;
    } else {
      escaped += {'%', Digits[byte >> 4U], Digits[byte & 15U]};
    }
  }
  return escaped;
}

EntryClient::EntryClient(std::vector<std::string> entries, std::string operatorName, std::string commandId)
    : m_entries(std::move(entries)), m_operatorName(std::move(operatorName)), m_commandId(std::move(commandId)) {}

Result<EntryReply> EntryClient::callOne(const std::string& entry, const std::string& method, const std::string& path,
                                        const std::string& body, Duration limit) const {
  const std::size_t colon = entry.rfind(':');
  boost::system::error_code error;
  const std::string address = entry.substr(0, colon);
  boost::asio::ip::make_address(address, error);
  const unsigned long port = colon == std::string::npos ? 0 : std::strtoul(entry.c_str() + colon + 1, nullptr, 10);
  if (error || port == 0 || port > 65535) {
    return fail(
        Failure{FailureCode::BadSettings, Ran::No, "read --entry", entry, "expected an IP number and a port", 0});
  }
  HttpRequest request(http::string_to_verb(method), path, 11);
  request.set("Courseloom-Operator", m_operatorName);
  if (!m_commandId.empty()) request.set("Courseloom-Command-Id", m_commandId);
  if (!body.empty()) request.set(http::field::content_type, "application/json");
  request.body() = body;
  boost::asio::io_context io;
  HttpClient client(io, address, static_cast<unsigned>(port), 0);
  Result<HttpResponse> response = Failed(Failure{});
  boost::asio::co_spawn(
      io,
      [&]() -> Awaitable<void> {
        response = co_await client.exchange(method + " " + path, std::move(request), limit, internal::MaxReplyBytes);
      },
      [](std::exception_ptr) {});
  io.run();
  if (!response) {
    Failure failure = extractFailure(response);
    const bool sent = failure.ran != Ran::No;
    failure.code = sent ? FailureCode::PeerFailed : FailureCode::PeerUnreachable;
    return fail(std::move(failure));
  }
  if (response->result_int() >= internal::FirstErrorStatus) {
    return fail(internal::read_problem(entry, response->result_int(), response->body()));
  }
  return EntryReply{response->result_int(), std::move(response->body())};
}

Result<EntryReply> EntryClient::call(const std::string& method, const std::string& path, const std::string& body,
                                     Duration limit) const {
  Failure last{FailureCode::PeerUnreachable,
               Ran::No,
               method + " " + path,
               "",
               "no entry is given; use --entry or COURSELOOM_ENTRY",
               0};
  for (const std::string& entry : m_entries) {
    Result<EntryReply> reply = callOne(entry, method, path, body, limit);
    if (reply) return reply;
    last = extractFailure(reply);
    // Queries, and changes with a command id, may be sent again after PeerFailed; other requests only if they
    // certainly were not sent.
    const bool unreachable = last.code == FailureCode::PeerUnreachable;
    const bool mayResend = last.code == FailureCode::PeerFailed && (method == "GET" || !m_commandId.empty());
    if (!unreachable && !mayResend) break;
  }
  return fail(std::move(last));
}

}  // namespace courseloom
