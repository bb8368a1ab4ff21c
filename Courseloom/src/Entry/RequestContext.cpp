// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Entry/RequestContext.h"

#include <xxhash.h>

#include <charconv>

#include "Courseloom/src/State/Selector.h"

namespace courseloom {

namespace http = boost::beast::http;

namespace internal {
namespace {

constexpr std::uint32_t MaxDeadlineMs = 3600 * 1000;
constexpr std::size_t MaxIdLength = 128;

Failure bad_header(const std::string& name, const std::string& detail) {
  return Failure{FailureCode::BadRequest, Ran::No, "read request", "", "header " + name + ": " + detail, 0};
}

std::string digest_of(const RequestContext& context) {
  const std::string all = context.service + '\n' + context.contentType + '\n' + context.body;
  const XXH128_hash_t hash = XXH3_128bits(all.data(), all.size());
  return std::string(reinterpret_cast<const char*>(&hash), sizeof(hash));
}

Result<schema::Urgency> read_urgency(const std::string& text) {
  if (text.empty() || text == "normal") return schema::Normal;
  if (text == "low") return schema::Low;
  if (text == "urgent") return schema::Urgent;
  return fail(bad_header("Courseloom-Urgency", "'" + text + "' is not low, normal or urgent"));
}

Result<std::uint32_t> read_deadline(const std::string& text, std::uint32_t defaultMs) {
  if (text.empty()) return defaultMs;
  std::uint32_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value == 0 || value > MaxDeadlineMs) {
    return fail(bad_header("Courseloom-Deadline-Ms", "'" + text + "' is not a number from 1 to 3600000"));
  }
  return value;
}

Result<bool> read_flag(const std::string& text) {
  if (text.empty() || text == "true") return true;
  if (text == "false") return false;
  return fail(bad_header("Courseloom-Repeatable", "'" + text + "' is not true or false"));
}

}  // namespace
}  // namespace internal

std::uint32_t RequestContext::remainingMs() const {
  const double left = toMilliseconds(deadline - BootClock::now());
  return left <= 0 ? 0 : static_cast<std::uint32_t>(left);
}

Result<RequestContext> readRequest(HttpRequest request, std::string service, std::uint32_t defaultDeadlineMs) {
  RequestContext context;
  context.arrived = BootClock::now();
  context.service = std::move(service);
  context.workspace = headerValue(request, "Courseloom-Workspace");
  if (context.workspace.empty()) return fail(internal::bad_header("Courseloom-Workspace", "is missing"));
  BOOST_LEAF_ASSIGN(context.repeatable, internal::read_flag(headerValue(request, "Courseloom-Repeatable")));
  context.requestId = headerValue(request, "Courseloom-Request-Id");
  if (!context.repeatable && context.requestId.empty()) {
    return fail(
        internal::bad_header("Courseloom-Request-Id", "is missing; a request that must not be repeated needs one"));
  }
  if (context.requestId.size() > internal::MaxIdLength) {
    return fail(internal::bad_header("Courseloom-Request-Id", "is longer than 128 characters"));
  }
  BOOST_LEAF_ASSIGN(context.urgency, internal::read_urgency(headerValue(request, "Courseloom-Urgency")));
  BOOST_LEAF_AUTO(deadlineMs,
                  internal::read_deadline(headerValue(request, "Courseloom-Deadline-Ms"), defaultDeadlineMs));
  context.deadline = context.arrived + milliseconds(deadlineMs);
  context.contentType = std::string(request[http::field::content_type]);
  context.body = std::move(request.body());
  context.digest = internal::digest_of(context);
  return context;
}

}  // namespace courseloom
