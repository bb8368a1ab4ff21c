// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/soak/SocketOwner.h"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <filesystem>
#include <string>

namespace courseloom::test {

namespace {

using Endpoint = boost::asio::ip::tcp::endpoint;

constexpr std::size_t AnswerBytes = 4096;

struct DiagQuery {
  nlmsghdr header;
  inet_diag_req_v2 request;
};

std::uint32_t wireAddress(const Endpoint& endpoint) { return htonl(endpoint.address().to_v4().to_uint()); }

DiagQuery makeQuery(const Endpoint& local, const Endpoint& remote) {
  DiagQuery query{};
  query.header.nlmsg_len = sizeof(DiagQuery);
  query.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  query.header.nlmsg_flags = NLM_F_REQUEST;
  query.request.sdiag_family = AF_INET;
  query.request.sdiag_protocol = IPPROTO_TCP;
  query.request.id.idiag_sport = htons(local.port());
  query.request.id.idiag_dport = htons(remote.port());
  query.request.id.idiag_src[0] = wireAddress(local);
  query.request.id.idiag_dst[0] = wireAddress(remote);
  query.request.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  query.request.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  return query;
}

/** \returns the inode in an answer, or 0 if the answer is an error or of another type. */
std::uint32_t inodeIn(const std::array<char, AnswerBytes>& answer, std::size_t length) {
  constexpr std::size_t MinAnswerBytes = NLMSG_LENGTH(sizeof(inet_diag_msg));
  if (length < MinAnswerBytes) return 0;
  nlmsghdr header{};
  std::memcpy(&header, answer.data(), sizeof(header));
  if (header.nlmsg_type != SOCK_DIAG_BY_FAMILY) return 0;
  inet_diag_msg message{};
  std::memcpy(&message, answer.data() + NLMSG_HDRLEN, sizeof(message));
  return message.idiag_inode;
}

}  // namespace

std::uint32_t inodeOfConnection(const Endpoint& local, const Endpoint& remote) {
  const int kernel = socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (kernel < 0) return 0;
  const DiagQuery query = makeQuery(local, remote);
  std::array<char, AnswerBytes> answer{};
  ssize_t length = send(kernel, &query, sizeof(query), 0);
  if (length == sizeof(query)) length = recv(kernel, answer.data(), answer.size(), 0);
  close(kernel);
  return length > 0 ? inodeIn(answer, static_cast<std::size_t>(length)) : 0;
}

int ownerOfConnection(const Endpoint& local, const Endpoint& remote, const std::vector<int>& pids) {
  const std::uint32_t inode = inodeOfConnection(local, remote);
  if (inode == 0) return 0;
  const std::string socketName = "socket:[" + std::to_string(inode) + "]";
  for (const int pid : pids) {
    std::error_code error;
    const std::string folder = "/proc/" + std::to_string(pid) + "/fd";
    for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
      if (std::filesystem::read_symlink(entry.path(), error) == socketName) return pid;
    }
  }
  return 0;
}

}  // namespace courseloom::test
