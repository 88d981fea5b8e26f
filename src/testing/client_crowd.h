#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace jaymast {

/// What each client of a ClientCrowd sends on its connection.
struct ClientScript {
  std::string head;              ///< sent once
  std::string unit;              ///< sent repeatedly after the head
  std::size_t repeat_count = 0;  ///< number of repetitions of `unit`
};

/// Clients that send the same bytes at once and then keep their connections open without sending more.
class ClientCrowd {
 public:
  /// Connects the clients.
  /// @param address IPv4 address and port
  /// @throws std::runtime_error if a connection cannot be opened
  ClientCrowd(const std::string& address, std::size_t clients, ClientScript script);

  /// Closes the connections.
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /// Sends until each client has sent everything or its connection was closed by the server. Received bytes are
  /// discarded, unless `reads` is false.
  /// @param timeout ends the sending; the connections stay open
  void Send(std::chrono::milliseconds timeout, bool reads = true);

 private:
  struct Client {
    int socket = -1;
    std::size_t unit = 0;    ///< 0 for the head, then the number of the repetition
    std::size_t offset = 0;  ///< bytes of the head or unit that are sent
  };

  /// Sends what the socket accepts. Returns whether the client has more to send.
  bool SendSome(Client& client) const;
  static void Close(Client& client);

  const ClientScript m_script;
  std::vector<Client> m_clients;
};

}  // namespace jaymast
