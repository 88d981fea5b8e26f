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
  std::string address = "127.0.0.1:0";        ///< IP number and port; port 0 takes a free port
  std::size_t max_frame_bytes = 32U << 20U;   ///< larger frames close the link
  std::size_t max_queued_bytes = 64U << 20U;  ///< per peer; frames beyond it are dropped
  std::size_t max_incoming_links = 1024;
  std::chrono::milliseconds connect_timeout{2'000};
  std::chrono::milliseconds send_timeout{5'000};   ///< a link that takes no bytes for this long is closed
  std::chrono::milliseconds idle_timeout{30'000};  ///< an incoming link without a frame for this long is closed
  std::chrono::milliseconds min_backoff{50};
  std::chrono::milliseconds max_backoff{2'000};
  std::shared_ptr<TlsContext> server_tls;  ///< plain TCP when empty
  std::shared_ptr<TlsContext> client_tls;
};

/// Links between entries over TCP. Each entry sends over the links that it opened and receives over the others.
///
/// Frames may be lost, and are never delivered to another incarnation than the one they were sent to.
class PeerLinks {
 public:
  /// Called on a traffic thread.
  using Receiver = std::function<void(const EntryId& from, PeerMessage message)>;

  struct Counters {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t dropped = 0;    ///< frames for which there was no room or no link
    std::uint64_t malformed = 0;  ///< links closed because of a bad frame
  };

  /// Listens for links from other entries.
  /// @return the links, or an error with the address when it cannot be used
  static Result<std::unique_ptr<PeerLinks>> Listen(IoPool& pool, PeerLinksOptions options, EntryId local,
                                                   Receiver receiver);

  /// Closes all links. Must not be called from a thread of the pool.
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// IP number and port where other entries connect.
  std::string address() const;

  /// Names a new incarnation of this entry. Closes all links; those to connected peers are opened again.
  void SetLocalId(EntryId local);

  /// Keeps a link to a peer open until Disconnect. Does nothing if there is one to the same address.
  void Connect(const EntryId& peer, const std::string& address);
  void Disconnect(const EntryId& peer);

  /// Sends a frame, or drops it when there is no link or its queue is full.
  void Send(const EntryId& peer, const PeerMessage& message);

  Counters counters() const;

 private:
  PeerLinks(IoPool& pool, std::shared_ptr<PeerLinksState> state);

  IoPool& m_pool;
  std::shared_ptr<PeerLinksState> m_state;
};

}  // namespace jaymast
