// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Limits of the HTTP server, and what callers beyond them are answered.

#include "Courseloom/src/Transport/HttpServer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <thread>

#include "test/ClientCrowd.h"
#include "test/Processes.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

const std::string Address = "127.0.9.61";

/** \class RunningServer
 * \brief A server on a thread of its own, which answers each request with the size of its body.
 */
class RunningServer {
 public:
  explicit RunningServer(HttpLimits limits, HttpBodyCheck check = {}, HttpHandler handler = {})
      : m_server(m_io, std::move(limits), handler ? std::move(handler) : sizeHandler(), std::move(check)) {
    m_endpoint = Address + ":" + std::to_string(*m_server.start(Address, 0));
    m_thread = std::thread([this] {
      const auto work = boost::asio::make_work_guard(m_io);
      m_io.run();
    });
  }
  ~RunningServer() {
    m_io.stop();
    m_thread.join();
  }
  std::string send(const std::string& bytes) const { return sendRaw(m_endpoint, bytes); }
  /** \returns the status of the answer to bytes; 0 without one. */
  unsigned statusOf(const std::string& bytes) const {
    const std::string answer = send(bytes);
    return answer.size() < 12 ? 0 : static_cast<unsigned>(std::stoul(answer.substr(9, 3)));
  }
  std::size_t served() const { return m_served.load(); }
  const std::string& endpoint() const { return m_endpoint; }

 private:
  HttpHandler sizeHandler() {
    return [this](HttpRequest request, HttpCaller) -> Awaitable<HttpResponse> {
      ++m_served;
      co_return jsonResponse(200, std::to_string(request.body().size()));
    };
  }

  boost::asio::io_context m_io;
  std::atomic<std::size_t> m_served{0};
  HttpServer m_server;
  std::string m_endpoint;
  std::thread m_thread;
};

HttpLimits limitsOf(std::uint64_t memory) {
  HttpLimits limits;
  limits.maxHeaderBytes = 4096;
  limits.maxBodyBytes = 1024U * 1024;
  limits.memory = std::make_shared<ByteBudget>(memory);
  return limits;
}

const std::string Head = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n";
const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";

std::string withBody(std::size_t bytes) {
  return Head + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x');
}

std::atomic<unsigned> checks{0};

Awaitable<std::optional<HttpResponse>> rejectAll(const HttpRequest& /*head*/) {
  ++checks;
  co_return jsonResponse(401, "{}");
}

constexpr std::size_t AnswerBytes = 1U << 20U;

Awaitable<HttpResponse> answerLarge(HttpRequest /*request*/, HttpCaller /*caller*/) {
  co_return jsonResponse(200, std::string(AnswerBytes, 'x'));
}

}  // namespace

Test(http_server, requests_inside_the_limits_are_served) {
  const RunningServer server(limitsOf(16U << 20U));
  cr_assert_eq(server.statusOf(withBody(0)), 200);
  cr_assert_eq(server.statusOf(withBody(1024U * 1024)), 200);
  cr_assert_eq(server.statusOf(Head + "X-Long: " + std::string(3900, 'x') + "\r\nContent-Length: 0\r\n\r\n"), 200);
  cr_assert_eq(server.statusOf(Chunked + "5;a=b\r\nhello\r\n0\r\nX-Trailer: text\r\n\r\n"), 200);
  cr_assert_eq(server.served(), 4);
}

Test(http_server, pipelined_requests_are_served_in_turn) {
  const RunningServer server(limitsOf(1U << 20U));
  const std::string kept = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
  const std::string answers = server.send(kept + kept + withBody(2));
  cr_assert_eq(server.served(), 3);
  cr_assert_neq(answers.find("\r\n\r\n2"), std::string::npos);
}

// Guards against a read buffer that grows with whatever the framing of a message contains.
Test(http_server, each_part_of_the_framing_has_a_limit) {
  const RunningServer server(limitsOf(16U << 20U));
  const std::string text(1U << 20U, 'x');
  cr_assert_eq(server.statusOf("POST /" + text), 431, "start line");
  cr_assert_eq(server.statusOf(Head + "X-Long: " + text), 431, "header");
  cr_assert_eq(server.statusOf(Chunked + "5;a=" + text), 431, "chunk extension");
  cr_assert_eq(server.statusOf(Chunked + "0\r\nX-Trailer: " + text), 431, "trailer");
  cr_assert_eq(server.served(), 0);
}

// Guards against fields that are stored as they come, each of which takes much more memory than its text.
Test(http_server, the_fields_of_a_message_have_a_limit) {
  const RunningServer server(limitsOf(16U << 20U));
  std::string fields;
  for (int i = 0; i < 300; ++i) fields += "a:\r\n";
  cr_assert_eq(server.statusOf(Head + fields + "\r\n"), 431, "a whole header");
  std::string endless;
  while (endless.size() < 1U << 20U) endless += "a:\r\n";
  for (std::size_t padding = 0; padding < 4; ++padding) {
    cr_assert_eq(server.statusOf(Head + "b:" + std::string(padding, ' ') + "\r\n" + endless), 431, "without end");
  }
  cr_assert_eq(server.statusOf(Chunked + "0\r\n" + fields + "\r\n"), 431, "a trailer");
  cr_assert_eq(server.served(), 0);
  cr_assert_eq(server.statusOf(Head + fields.substr(0, 4 * 200) + "\r\n"), 200, "fewer fields");
}

// Guards against a parser that ends the process if the end of a chunked body arrives in small parts.
Test(http_server, a_chunked_body_may_end_in_small_parts) {
  const RunningServer server(limitsOf(16U << 20U));
  for (const std::string body : {"0\r\n\r\n", "0\r\nX: y\r\n\r\n", "5;a=b\r\nhello\r\n0\r\n\r\n"}) {
    ClientScript script;
    script.begin = Head + "Transfer-Encoding: chunked\r\n\r\n" + body;
    script.pieceBytes = 1;
    script.pause = milliseconds(1);
    const std::size_t served = server.served();
    ClientCrowd crowd(server.endpoint(), {script});
    crowd.awaitQuiet();
    cr_assert_eq(server.served(), served + 1);
  }
}

Test(http_server, a_body_that_cannot_fit_is_too_large) {
  const RunningServer server(limitsOf(256U << 10U));
  cr_assert_eq(server.statusOf(withBody(1000U * 1024)), 413);
  cr_assert_eq(server.statusOf(withBody(2000U * 1024)), 413, "beyond the limit of a body");
  cr_assert_eq(server.statusOf(withBody(10U * 1024)), 200);
  cr_assert_eq(server.served(), 1);
}

Test(http_server, a_body_that_does_not_fit_now_may_come_back) {
  const HttpLimits limits = limitsOf(512U << 10U);
  const RunningServer server(limits);
  ByteShare others(limits.memory);
  cr_assert(others.resize(limits.memory->largestShare()));
  const std::string answer = server.send(withBody(200U * 1024));
  cr_assert_eq(answer.rfind("HTTP/1.1 429", 0), 0, "%s", answer.c_str());
  cr_assert_neq(answer.find("Retry-After:"), std::string::npos);
  cr_assert_eq(server.statusOf(withBody(10U * 1024)), 200, "a small one has room");
  others.resize(0);
  cr_assert_eq(server.statusOf(withBody(200U * 1024)), 200);
}

// The answer must arrive although the body has not been read.
Test(http_server, a_large_body_is_checked_before_it_is_read) {
  const RunningServer server(limitsOf(16U << 20U), rejectAll);
  cr_assert_eq(server.statusOf(withBody(100)), 200, "a small one is not checked");
  cr_assert_eq(checks.load(), 0);
  cr_assert_eq(server.statusOf(withBody(1000U * 1024)), 401);
  std::string chunks;
  for (int i = 0; i < 100; ++i) chunks += "400\r\n" + std::string(1024, 'x') + "\r\n";
  cr_assert_eq(server.statusOf(Chunked + chunks + "0\r\n\r\n"), 401, "in chunks");
  cr_assert_eq(checks.load(), 2);
  cr_assert_eq(server.served(), 1);
}

Test(http_server, a_request_that_is_cut_is_answered) {
  const RunningServer server(limitsOf(1U << 20U));
  cr_assert_eq(server.statusOf(Head + "Content-Length: 100\r\n\r\nabc"), 400);
  cr_assert_eq(server.statusOf("GET / HT"), 400);
  cr_assert_eq(server.statusOf(""), 0);
}

// Guards against answers that a process holds for callers that do not read them, outside of its budget.
Test(http_server, answers_that_are_not_read_are_charged) {
  constexpr std::size_t Callers = 8;
  HttpLimits limits = limitsOf(6 * AnswerBytes);
  limits.socketBufferBytes = 16 * 1024;
  const RunningServer server(limits, {}, answerLarge);
  ClientScript script;
  script.begin = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  script.reads = false;
  ClientCrowd crowd(server.endpoint(), std::vector<ClientScript>(Callers, script));
  crowd.awaitQuiet();
  cr_assert_geq(limits.memory->held(), 3 * AnswerBytes, "%llu bytes are charged",
                static_cast<unsigned long long>(limits.memory->held()));
  // Those who read are served, in place of those who do not.
  cr_assert_eq(server.statusOf("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"), 200);
}
