// A small blocking HTTP/1.1 server and client for the stand-ins of review/.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

namespace site {

using Clock = std::chrono::steady_clock;

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}

inline void SleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

struct Request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct Response {
  int status = 0;  // 0: no answer
  std::string body;
};

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) throw std::runtime_error("bad address " + ip);
  return address;
}

// Returns a port that is free on the address.
inline int FreePort(const std::string& ip) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Address(ip, 0);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) throw std::runtime_error("bind " + ip);
  socklen_t size = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return ntohs(address.sin_port);
}

// Reads one message. Returns its first line, or nothing if the connection ended or the time is up.
inline std::optional<std::string> ReadMessage(int fd, std::string& buffer, std::map<std::string, std::string>& headers,
                                              std::string& body, std::int64_t until_ms) {
  const auto read_more = [&] {
    pollfd waiting{fd, POLLIN, 0};
    const std::int64_t left = until_ms - NowMs();
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(std::min<std::int64_t>(left, 3'600'000))) <= 0) return false;
    char bytes[16384];
    const ssize_t size = ::recv(fd, bytes, sizeof(bytes), 0);
    if (size <= 0) return false;
    buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!read_more()) return std::nullopt;
  }
  const std::string head = buffer.substr(0, end);
  buffer.erase(0, end + 4);
  const std::size_t line_end = head.find("\r\n");
  const std::string first = head.substr(0, line_end);
  headers.clear();
  std::size_t at = line_end;
  while (at != std::string::npos) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(begin, at == std::string::npos ? at : at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    headers[Lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
  }
  std::size_t length = 0;
  if (headers.count("content-length") > 0) length = std::stoul(headers["content-length"]);
  while (buffer.size() < length) {
    if (!read_more()) return std::nullopt;
  }
  body = buffer.substr(0, length);
  buffer.erase(0, length);
  return first;
}

inline bool SendAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t size = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

// Serves each connection on a thread of its own. A handler that returns status 0 leaves its request without an answer,
// and its connection delivers nothing further.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  Server(const std::string& ip, Handler handler) : m_ip(ip), m_handler(std::move(handler)) { Open(); }

  const std::string& address() const { return m_address; }

  // Listens, on the same port as before if there was one.
  void Open() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = Address(m_ip, m_port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || ::listen(fd, 512) != 0) {
      throw std::runtime_error("cannot listen on " + m_ip);
    }
    socklen_t size = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_address = m_ip + ":" + std::to_string(m_port);
    {
      const std::lock_guard lock(m_mutex);
      m_fd = fd;
    }
    std::thread([this, fd] { Accept(fd); }).detach();
  }

  // Closes the port and all connections, as the kernel does for a process that has died.
  void Close() {
    const std::lock_guard lock(m_mutex);
    ::shutdown(m_fd, SHUT_RDWR);
    ::close(m_fd);
    m_fd = -1;
    for (const int connection : m_connections) ::shutdown(connection, SHUT_RDWR);
  }

 private:
  void Accept(int listener) {
    while (true) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      const std::lock_guard lock(m_mutex);
      if (m_fd != listener) {
        if (fd >= 0) ::close(fd);
        return;
      }
      if (fd < 0) continue;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      m_connections.insert(fd);
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    std::string buffer;
    Request request;
    bool is_silent = false;
    while (const auto first = ReadMessage(fd, buffer, request.headers, request.body, NowMs() + 600'000)) {
      const std::size_t space = first->find(' ');
      request.method = first->substr(0, space);
      request.target = first->substr(space + 1, first->rfind(' ') - space - 1);
      if (is_silent) continue;
      const Response response = m_handler(request);
      is_silent = response.status == 0;
      if (is_silent) continue;
      const std::string text =
          "HTTP/1.1 " + std::to_string(response.status) +
          " OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) +
          "\r\n\r\n" + response.body;
      if (!SendAll(fd, text)) break;
    }
    const std::lock_guard lock(m_mutex);
    m_connections.erase(fd);
    ::close(fd);
  }

  const std::string m_ip;
  const Handler m_handler;
  int m_port = 0;
  std::string m_address;
  std::mutex m_mutex;
  int m_fd = -1;
  std::set<int> m_connections;
};

// Makes one call on a connection of its own. Status 0: no complete answer within the time.
inline Response Call(const std::string& address, const std::string& method, const std::string& target,
                     const std::map<std::string, std::string>& headers, const std::string& body,
                     std::int64_t timeout_ms) {
  const std::size_t colon = address.rfind(':');
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to = Address(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
  Response response;
  if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0) {
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    std::map<std::string, std::string> answer_headers;
    if (SendAll(fd, text)) {
      if (const auto first = ReadMessage(fd, buffer, answer_headers, response.body, NowMs() + timeout_ms)) {
        response.status = std::stoi(first->substr(first->find(' ') + 1));
      }
    }
  }
  ::close(fd);
  return response;
}

}  // namespace site
