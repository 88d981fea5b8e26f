#pragma once

#include <cstdint>
#include <functional>

#include "base/id.h"
#include "base/time.h"
#include "core/event.h"
#include "core/peer_message.h"
#include "core/request.h"
#include "core/table.h"
#include "core/upstream_protocol.h"

namespace jaymast {

/// Abstracts the clock, the random source and all I/O of the decision core.
///
/// Callbacks run on the control thread, never inside the call that takes them.
class Effects {
 public:
  using CommitCallback = std::function<void(const CommitReply&)>;
  using ReadCallback = std::function<void(const ReadReply&)>;
  using LookupCallback = std::function<void(const LookupReply&)>;
  using UpstreamCallback = std::function<void(const UpstreamReply&)>;

  virtual ~Effects() = default;

  virtual Time Now() const = 0;
  virtual std::uint64_t Random() = 0;

  virtual void Commit(const Transaction& transaction, CommitCallback done) = 0;
  virtual void Read(const ReadRequest& request, ReadCallback done) = 0;
  virtual void Lookup(const TransactionId& id, LookupCallback done) = 0;

  /// Sets the address (IP address and port) of a peer. Called before the first SendPeer() to it.
  virtual void ConnectPeer(const EntryId& peer, const std::string& address) = 0;
  virtual void DisconnectPeer(const EntryId& peer) = 0;
  virtual void SendPeer(const EntryId& peer, const PeerMessage& message) = 0;

  /// Sends one request to the runner at `address`. `done` is called by `deadline` at the latest.
  virtual void CallUpstream(const UpstreamId& upstream, const std::string& address, const UpstreamRequest& request,
                            Time deadline, UpstreamCallback done) = 0;

  virtual void Reply(RequestId request, const Response& response) = 0;
  virtual void Emit(const Event& event) = 0;
};

}  // namespace jaymast
