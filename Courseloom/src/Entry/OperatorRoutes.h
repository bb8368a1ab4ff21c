// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Membership/ControlClient.h"
#include "Courseloom/src/Transport/HttpServer.h"

namespace courseloom {

/** \class OperatorRoutes
 * \brief The HTTP interface for jobs, objects, actions and status.
 *
 * Translates JSON requests into commands and queries to the control leader, and the replies into JSON.
 */
class OperatorRoutes {
 public:
  OperatorRoutes(ControlClient& control, std::string nodeName);

  /** Answers one request.
   * \param path segments of the path after /v1
   * \param query text after '?' of the URL, empty if there is none
   */
  Awaitable<HttpResponse> answer(HttpRequest request, std::vector<std::string> path, std::string query);

 private:
  Awaitable<HttpResponse> jobs(HttpRequest request, std::vector<std::string> path, std::string query);
  Awaitable<HttpResponse> objects(HttpRequest request, std::vector<std::string> path, std::string query);
  Awaitable<HttpResponse> action(HttpRequest request);
  Awaitable<HttpResponse> status();
  /** Sends a query to the control leader. */
  Awaitable<HttpResponse> sendQuery(schema::QueryRequest query);
  /** Sends a command to the control leader. \param status HTTP status of a success */
  Awaitable<HttpResponse> sendCommand(schema::Command command, const HttpRequest& request, unsigned status);

  ControlClient& m_control;
  std::string m_nodeName;
};

/** \returns the decoded value of a key in a URL's query, or an empty string if the key is missing. */
std::string queryValue(const std::string& query, const std::string& key);
/** Splits a path at '/' and decodes percent escapes. \returns the segments */
std::vector<std::string> splitPath(const std::string& path);

}  // namespace courseloom
