// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Limits of the HTTP client on what its peers answer.

#include "Courseloom/src/Transport/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <thread>

#include "test/main.h"

using namespace courseloom;

namespace asio = boost::asio;

namespace {

const std::string Address = "127.0.9.62";
constexpr std::size_t MiB = 1024U * 1024;

/** Answers one request with bytes, some of them at a time. */
void answerOnce(asio::ip::tcp::acceptor& acceptor, const std::string& answer, std::size_t pieceBytes) {
  boost::system::error_code ignored;
  asio::ip::tcp::socket socket = acceptor.accept();
  std::string request;
  asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ignored);
  socket.set_option(asio::ip::tcp::no_delay(true));
  for (std::size_t sent = 0; sent < answer.size() && !ignored; sent += pieceBytes) {
    if (sent > 0 && pieceBytes < MiB) std::this_thread::sleep_for(milliseconds(1));
    asio::write(socket, asio::buffer(answer.data() + sent, std::min(pieceBytes, answer.size() - sent)), ignored);
  }
}

Awaitable<void> exchange(HttpClient& client, std::optional<Failure>& failure, std::size_t& bodyBytes) {
  HttpRequest request(boost::beast::http::verb::get, "/", 11);
  Result<HttpResponse> answer = co_await client.exchange("test", std::move(request), milliseconds(20000), 4 * MiB);
  if (answer) bodyBytes = answer->body().size();
  if (!answer) failure = extractFailure(answer);
}

/** \returns the failure of an exchange that is answered with bytes; nothing if the answer was read. */
std::optional<Failure> failureOf(const std::string& bytes, std::size_t expectedBytes = 0,
                                 std::size_t pieceBytes = MiB) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address(Address), 0});
  std::thread server([&] { answerOnce(acceptor, bytes, pieceBytes); });
  HttpClient client(io, Address, acceptor.local_endpoint().port(), 0);
  std::optional<Failure> failure;
  std::size_t bodyBytes = 0;
  asio::co_spawn(io, exchange(client, failure, bodyBytes), asio::detached);
  io.run();
  server.join();
  if (!failure) cr_assert_eq(bodyBytes, expectedBytes);
  return failure;
}

const std::string Chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace

Test(http_client, a_large_answer_is_read) {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(MiB) + "\r\n\r\n";
  cr_assert_not(failureOf(head + std::string(MiB, 'x'), MiB).has_value());
  cr_assert_not(failureOf(Chunked + "5;a=b\r\nhello\r\n0\r\nX-Trailer: text\r\n\r\n", 5).has_value());
}

// Guards against a parser that ends the process if the end of a chunked body arrives in small parts.
Test(http_client, a_chunked_answer_may_end_in_small_parts) {
  cr_assert_not(failureOf(Chunked + "0\r\n\r\n", 0, 1).has_value());
  cr_assert_not(failureOf(Chunked + "0\r\nX: y\r\n\r\n", 0, 1).has_value());
  cr_assert_not(failureOf(Chunked + "5;a=b\r\nhello\r\n0\r\n\r\n", 5, 1).has_value());
}

// The end of the connection ends an answer without a length, and cuts one that has a length.
Test(http_client, an_answer_may_end_with_its_connection) {
  cr_assert_not(failureOf("HTTP/1.1 200 OK\r\n\r\nhello", 5).has_value());
  const std::optional<Failure> cut = failureOf("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello");
  cr_assert(cut.has_value() && cut->code == FailureCode::AnswerIncomplete);
  const std::optional<Failure> nothing = failureOf("");
  cr_assert(nothing.has_value() && nothing->code == FailureCode::TargetFailed);
}

// Guards against a read buffer that grows with whatever the framing of an answer contains.
Test(http_client, a_part_of_the_framing_that_is_too_long_ends_the_exchange) {
  const std::string text(MiB, 'x');
  cr_assert(failureOf(Chunked + "5;a=" + text + "\r\nhello\r\n0\r\n\r\n", 5).has_value(), "chunk extension");
  cr_assert(failureOf(Chunked + "0\r\nX-Trailer: " + text + "\r\n\r\n").has_value(), "trailer");
  std::string fields;
  for (int i = 0; i < 300; ++i) fields += "a:\r\n";
  cr_assert(failureOf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + fields + "\r\n").has_value(), "header fields");
}
