#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/id.h"
#include "base/result.h"
#include "core/peer_message.h"

namespace jaymast {

class IoPool;
class TlsContext;
class PeerLinksState;

struct PeerLinksOptions {
  std::string address = "127.0.0.1:0";        ///< IP:port; port 0 selects a free port
  std::size_t max_frame_bytes = 32U << 20U;   ///< larger frames close the link
  std::size_t max_queued_bytes = 64U << 20U;  ///< limit per peer; frames that exceed it are dropped
  std::size_t max_incoming_links = 1024;
  std::chrono::milliseconds connect_timeout{2'000};
  std::chrono::milliseconds send_timeout{5'000};   ///< a write that takes longer closes the link
  std::chrono::milliseconds idle_timeout{30'000};  ///< an incoming link without a frame for this long is closed
  std::chrono::milliseconds min_backoff{50};
  std::chrono::milliseconds max_backoff{2'000};
  std::shared_ptr<TlsContext> server_tls;  ///< plain TCP when empty
  std::shared_ptr<TlsContext> client_tls;
};

/// Sends and receives messages between entries over TCP. Each link carries messages in one direction, from the entry
/// that opened it.
///
/// Delivery is at most once. A frame is delivered only to the incarnation to which it was sent.
class PeerLinks {
 public:
  /// Called on an I/O thread.
  using Receiver = std::function<void(const EntryId& from, PeerMessage message)>;

  struct Counters {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t dropped = 0;    ///< frames without a link, too large, or beyond the queue limit
    std::uint64_t malformed = 0;  ///< links closed because of a malformed frame
  };

  /// Listens for links from other entries.
  /// @return the links, or an error with the address if it cannot be bound
  static Result<std::unique_ptr<PeerLinks>> Listen(IoPool& pool, PeerLinksOptions options, EntryId local,
                                                   Receiver receiver);

  /// Closes all links. Must not be called from a thread of the pool.
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// Local IP address and port to which other entries connect.
  std::string address() const;

  /// Sets the id of a new incarnation of this entry. Closes all links and reopens the outgoing ones.
  void SetLocalId(EntryId local);

  /// Keeps a link to a peer open, with reconnects, until Disconnect. No effect if there is one to the same address.
  void Connect(const EntryId& peer, const std::string& address);
  void Disconnect(const EntryId& peer);

  /// Queues a message for a peer. It is dropped if there is no link, it is too large, or the queue is full.
  void Send(const EntryId& peer, const PeerMessage& message);

  Counters counters() const;

 private:
  PeerLinks(IoPool& pool, std::shared_ptr<PeerLinksState> state);

  IoPool& m_pool;
  std::shared_ptr<PeerLinksState> m_state;
};

}  // namespace jaymast
