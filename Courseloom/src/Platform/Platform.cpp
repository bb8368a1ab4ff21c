// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Platform/Platform.h"

#include <google/protobuf/util/json_util.h>

namespace courseloom {

namespace http = boost::beast::http;

namespace internal {
namespace {

constexpr std::size_t IdleConnections = 16;
constexpr std::uint64_t MaxReportBytes = 64ULL * 1024 * 1024;

/** Parses a message; unknown fields are ignored. */
template <class Message>
Result<Message> read_json(const std::string& step, const std::string& peer, const std::string& json) {
  Message message;
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  const auto status = google::protobuf::util::JsonStringToMessage(json, &message, options);
  if (status.ok()) return message;
  return fail(Failure{FailureCode::PlatformFailed, Ran::Unknown, step, peer, std::string(status.message()), 0});
}

/** Parses the body of an answer with status 200. Any other status leaves open whether the request was carried out, so
 * it is a failure with Ran::Unknown. */
template <class Message>
Result<Message> read_answer(const std::string& step, const std::string& peer, Result<HttpResponse> response) {
  if (!response) {
    Failure failure = extractFailure(response);
    failure.code = FailureCode::PlatformFailed;
    return fail(std::move(failure));
  }
  if (response->result() == http::status::ok) return read_json<Message>(step, peer, response->body());
  return fail(Failure{FailureCode::PlatformFailed, Ran::Unknown, step, peer,
                      "status " + std::to_string(response->result_int()), 0});
}

}  // namespace
}  // namespace internal

HttpPlatform::HttpPlatform(boost::asio::io_context& io, const std::string& address, unsigned port, Duration limit)
    : m_client(io, address, port, internal::IdleConnections), m_limit(limit) {}

Awaitable<Result<schema::PlatformReport>> HttpPlatform::report() {
  HttpRequest request(http::verb::get, "/v1/report", 11);
  Result<HttpResponse> response =
      co_await m_client.exchange("platform report", std::move(request), m_limit, internal::MaxReportBytes);
  co_return internal::read_answer<schema::PlatformReport>("platform report", m_client.peer(), std::move(response));
}

Awaitable<Result<schema::OrderReply>> HttpPlatform::order(schema::LeaseOrder order) {
  HttpRequest request(http::verb::post, "/v1/orders", 11);
  request.set(http::field::content_type, "application/json");
  google::protobuf::util::MessageToJsonString(order, &request.body());
  Result<HttpResponse> response =
      co_await m_client.exchange("platform order", std::move(request), m_limit, internal::MaxReportBytes);
  co_return internal::read_answer<schema::OrderReply>("platform order", m_client.peer(), std::move(response));
}

}  // namespace courseloom
