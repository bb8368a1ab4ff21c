// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Entry/OperatorRoutes.h"

#include <google/protobuf/util/json_util.h>

#include <charconv>
#include <random>

namespace courseloom {

namespace http = boost::beast::http;

namespace internal {
namespace {

/** Longest time for a command or a query at the control leader, without the wait that a query asks for. */
constexpr Duration CommandLimit = milliseconds(10000);
constexpr std::uint32_t MaxWaitMs = 3600 * 1000;

Failure bad_request(const std::string& detail) {
  return Failure{FailureCode::BadRequest, Ran::No, "read request", "", detail, 0};
}

Failure wrong_method(const std::string& allowed) {
  return Failure{FailureCode::MethodNotAllowed, Ran::No, "route", "", "use " + allowed, 0};
}

template <class Message>
Result<Message> read_body(const HttpRequest& request) {
  const std::string type(request[http::field::content_type]);
  if (type.rfind("application/json", 0) != 0) {
    return fail(Failure{FailureCode::UnsupportedMediaType, Ran::No, "read request", "", "send application/json", 0});
  }
  Message message;
  const auto status = google::protobuf::util::JsonStringToMessage(request.body(), &message);
  if (!status.ok()) return fail(bad_request("the body cannot be read: " + std::string(status.message())));
  return message;
}

std::string to_json(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.add_whitespace = true;
  options.always_print_primitive_fields = true;
  std::string json;
  google::protobuf::util::MessageToJsonString(message, &json, options);
  return json;
}

/** \returns the command id of a change whose caller gave none. */
std::string random_id() {
  thread_local std::mt19937_64 generator(std::random_device{}());
  return "c" + std::to_string(generator()) + "-" + std::to_string(generator());
}

/** \returns the revision of an If-Match header, 0 if the header is missing. */
Result<std::uint64_t> read_revision(const std::string& text) {
  std::string digits = text;
  std::erase(digits, '"');
  if (digits.empty()) return 0;
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (error != std::errc() || end != digits.data() + digits.size())
    return fail(bad_request("If-Match is not a revision"));
  return value;
}

}  // namespace
}  // namespace internal

std::string queryValue(const std::string& query, const std::string& key) {
  std::size_t at = 0;
  while (at < query.size()) {
    std::size_t end = query.find('&', at);
    if (end == std::string::npos) end = query.size();
    const std::string pair = query.substr(at, end - at);
    if (pair.rfind(key + "=", 0) == 0) {
      const std::vector<std::string> decoded = splitPath("/" + pair.substr(key.size() + 1));
      return decoded.empty() ? std::string() : decoded.front();
    }
    at = end + 1;
  }
  return {};
}

std::vector<std::string> splitPath(const std::string& path) {
  std::vector<std::string> parts;
  for (std::size_t i = 0; i < path.size(); ++i) {
    if (path[i] == '/') {
      parts.emplace_back();
      continue;
    }
    if (parts.empty()) parts.emplace_back();
    unsigned code = 0;
    const bool escaped = path[i] == '%' && i + 2 < path.size() &&
                         std::from_chars(path.data() + i + 1, path.data() + i + 3, code, 16).ptr == path.data() + i + 3;
    parts.back() += escaped ? static_cast<char>(code) : path[i];
    if (escaped) i += 2;
  }
  return parts;
}

OperatorRoutes::OperatorRoutes(ControlClient& control, std::string nodeName)
    : m_control(control), m_nodeName(std::move(nodeName)) {}

Awaitable<HttpResponse> OperatorRoutes::answer(HttpRequest request, std::vector<std::string> path, std::string query) {
  const std::string area = path.empty() ? "" : path.front();
  if (area == "jobs") co_return co_await jobs(std::move(request), std::move(path), std::move(query));
  if (area == "objects") co_return co_await objects(std::move(request), std::move(path), std::move(query));
  if (area == "actions") co_return co_await action(std::move(request));
  if (area == "status" && path.size() == 1) {
    if (request.method() != http::verb::get) co_return problemResponse(internal::wrong_method("GET"));
    co_return co_await status();
  }
  co_return problemResponse(Failure{FailureCode::NotFound, Ran::No, "route", "", "no such path", 0});
}

Awaitable<HttpResponse> OperatorRoutes::sendQuery(schema::QueryRequest query) {
  const Time deadline = BootClock::now() + internal::CommandLimit + milliseconds(query.wait_ms());
  Result<schema::QueryReply> reply = co_await m_control.query(std::move(query), deadline);
  if (!reply) {
    Failure failure = extractFailure(reply);
    failure.ran = Ran::No;
    co_return problemResponse(failure);
  }
  if (reply->has_failure()) co_return problemResponse(fromInfo(reply->failure()));
  co_return jsonResponse(200, internal::to_json(*reply));
}

Awaitable<HttpResponse> OperatorRoutes::sendCommand(schema::Command command, const HttpRequest& request,
                                                    unsigned status) {
  const std::string id = headerValue(request, "Courseloom-Command-Id");
  command.set_command_id(id.empty() ? internal::random_id() : id);
  const std::string operatorName = headerValue(request, "Courseloom-Operator");
  command.set_operator_name(operatorName.empty() ? "unnamed" : operatorName);
  Result<schema::CommandReply> reply =
      co_await m_control.command(std::move(command), BootClock::now() + internal::CommandLimit);
  if (!reply) co_return problemResponse(extractFailure(reply));
  if (reply->has_failure()) co_return problemResponse(fromInfo(reply->failure()));
  HttpResponse response = jsonResponse(status, internal::to_json(*reply));
  if (reply->revision() > 0) response.set(http::field::etag, "\"" + std::to_string(reply->revision()) + "\"");
  co_return response;
}

Awaitable<HttpResponse> OperatorRoutes::jobs(HttpRequest request, std::vector<std::string> path, std::string query) {
  if (path.size() == 1 && request.method() == http::verb::post) {
    Result<schema::JobSpec> spec = internal::read_body<schema::JobSpec>(request);
    if (!spec) co_return problemResponse(extractFailure(spec));
    schema::Command command;
    *command.mutable_submit()->mutable_spec() = std::move(*spec);
    co_return co_await sendCommand(std::move(command), request, 201);
  }
  schema::QueryRequest queryRequest;
  if (path.size() == 1 && request.method() == http::verb::get) {
    queryRequest.set_kind(schema::QueryJobs);
    queryRequest.set_selector(queryValue(query, "selector"));
    co_return co_await sendQuery(std::move(queryRequest));
  }
  if (path.size() == 2 && request.method() == http::verb::get) {
    queryRequest.set_kind(schema::QueryJob);
    queryRequest.set_id(path[1]);
    const std::string wait = queryValue(query, "wait");
    std::uint32_t waitMs = 0;
    const auto [end, error] = std::from_chars(wait.data(), wait.data() + wait.size(), waitMs);
    const bool wrong =
        !wait.empty() && (error != std::errc() || end != wait.data() + wait.size() || waitMs > internal::MaxWaitMs);
    if (wrong) co_return problemResponse(internal::bad_request("wait is not a number of milliseconds up to 3600000"));
    queryRequest.set_wait_ms(waitMs);
    co_return co_await sendQuery(std::move(queryRequest));
  }
  if (path.size() == 2 && request.method() == http::verb::delete_) {
    schema::Command command;
    command.mutable_cancel()->set_id(path[1]);
    co_return co_await sendCommand(std::move(command), request, 200);
  }
  co_return problemResponse(internal::wrong_method(path.size() == 1 ? "GET or POST" : "GET or DELETE"));
}

Awaitable<HttpResponse> OperatorRoutes::objects(HttpRequest request, std::vector<std::string> path, std::string query) {
  if (path.size() == 1 && request.method() == http::verb::get) {
    schema::QueryRequest queryRequest;
    queryRequest.set_kind(schema::QueryObjects);
    queryRequest.set_selector(queryValue(query, "selector"));
    co_return co_await sendQuery(std::move(queryRequest));
  }
  Result<std::uint64_t> revision = internal::read_revision(headerValue(request, "If-Match"));
  if (!revision) co_return problemResponse(extractFailure(revision));
  schema::Command command;
  if (path.size() == 1 && request.method() == http::verb::post) {
    Result<schema::ObjectFile> file = internal::read_body<schema::ObjectFile>(request);
    if (!file) co_return problemResponse(extractFailure(file));
    *command.mutable_apply()->mutable_objects() = file->objects();
    if (*revision > 0) {
      for (schema::Object& object : *command.mutable_apply()->mutable_objects()) object.set_revision(*revision);
    }
    co_return co_await sendCommand(std::move(command), request, 200);
  }
  if (path.size() == 3 && request.method() == http::verb::delete_) {
    command.mutable_remove()->mutable_key()->set_kind(path[1]);
    command.mutable_remove()->mutable_key()->set_name(path[2]);
    command.mutable_remove()->set_revision(*revision);
    co_return co_await sendCommand(std::move(command), request, 200);
  }
  co_return problemResponse(internal::wrong_method("GET or POST on /v1/objects, DELETE on /v1/objects/KIND/NAME"));
}

Awaitable<HttpResponse> OperatorRoutes::action(HttpRequest request) {
  if (request.method() != http::verb::post) co_return problemResponse(internal::wrong_method("POST"));
  Result<schema::Action> action = internal::read_body<schema::Action>(request);
  if (!action) co_return problemResponse(extractFailure(action));
  schema::Command command;
  *command.mutable_action() = std::move(*action);
  co_return co_await sendCommand(std::move(command), request, 200);
}

Awaitable<HttpResponse> OperatorRoutes::status() {
  schema::QueryRequest query;
  query.set_kind(schema::QueryStatus);
  co_return co_await sendQuery(std::move(query));
}

}  // namespace courseloom
