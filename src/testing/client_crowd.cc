#include "testing/client_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <stdexcept>
#include <utility>

namespace jaymast {
namespace {

/// A small send buffer, so that a client counts as done only when the server has received nearly everything.
constexpr int kSendBufferBytes = 65'536;
constexpr int kPollMillis = 100;
constexpr std::size_t kReadBytes = 4096;

int Connect(const std::string& address) {
  const std::size_t colon = address.find(':');
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  ::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof(kSendBufferBytes));
  if (fd < 0 || ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr) != 1 ||
      ::connect(fd, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) != 0) {
    ::close(fd);
    throw std::runtime_error(address + ": cannot connect");
  }
  return fd;
}

}  // namespace

ClientCrowd::ClientCrowd(const std::string& address, std::size_t clients, ClientScript script)
    : m_script(std::move(script)) {
  for (std::size_t i = 0; i < clients; ++i) m_clients.push_back({Connect(address)});
}

ClientCrowd::~ClientCrowd() {
  for (Client& client : m_clients) Close(client);
}

void ClientCrowd::Send(std::chrono::milliseconds timeout, bool reads) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  std::vector<pollfd> waiting;
  std::array<char, kReadBytes> discarded{};
  while (std::chrono::steady_clock::now() < deadline) {
    waiting.clear();
    for (Client& client : m_clients) {
      while (reads && client.socket >= 0) {
        const ssize_t size = ::recv(client.socket, discarded.data(), discarded.size(), MSG_DONTWAIT);
        if (size > 0) continue;
        if (size == 0 || errno != EAGAIN) Close(client);
        break;
      }
      if (client.socket >= 0 && SendSome(client)) waiting.push_back({client.socket, POLLOUT, 0});
    }
    if (waiting.empty()) return;
    ::poll(waiting.data(), waiting.size(), kPollMillis);
  }
}

bool ClientCrowd::SendSome(Client& client) const {
  while (client.unit <= m_script.repeat_count) {
    const std::string& bytes = client.unit == 0 ? m_script.head : m_script.unit;
    const ssize_t size =
        ::send(client.socket, bytes.data() + client.offset, bytes.size() - client.offset, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (size < 0) {
      if (errno == EAGAIN) return true;
      Close(client);
      return false;
    }
    client.offset += static_cast<std::size_t>(size);
    if (client.offset < bytes.size()) return true;
    client.offset = 0;
    ++client.unit;
  }
  return false;
}

void ClientCrowd::Close(Client& client) {
  if (client.socket >= 0) ::close(client.socket);
  client.socket = -1;
}

}  // namespace jaymast
