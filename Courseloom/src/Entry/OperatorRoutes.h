// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Membership/ControlClient.h"
#include "Courseloom/src/Transport/HttpServer.h"

namespace courseloom {

/** \class OperatorRoutes
 * \brief The HTTP interface for jobs, objects, actions and status: JSON in and out, handed to the control leader.
 */
class OperatorRoutes {
 public:
  OperatorRoutes(ControlClient& control, std::string nodeName);

  /** Answers a request whose path has been split. \param path segments after /v1 */
  Awaitable<HttpResponse> answer(HttpRequest request, std::vector<std::string> path, std::string query);

 private:
  Awaitable<HttpResponse> jobs(HttpRequest request, std::vector<std::string> path, std::string query);
  Awaitable<HttpResponse> objects(HttpRequest request, std::vector<std::string> path, std::string query);
  Awaitable<HttpResponse> action(HttpRequest request);
  Awaitable<HttpResponse> status();
  Awaitable<HttpResponse> ask(schema::QueryRequest query);
  Awaitable<HttpResponse> change(schema::Command command, const HttpRequest& request, unsigned status);

  ControlClient& m_control;
  std::string m_nodeName;
};

/** \returns the value of a key in a URL's query, or an empty string. */
std::string queryValue(const std::string& query, const std::string& key);
/** Splits a path at '/'; percent escapes are decoded. */
std::vector<std::string> splitPath(const std::string& path);

}  // namespace courseloom
