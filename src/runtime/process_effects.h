#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "core/effects.h"
#include "runtime/http_table.h"

namespace jaymast {

class ControlLoop;
class EventLog;
class HttpClient;
class Metrics;
class PeerLinks;
class ProcessClock;

/// Implements the effects of the decision core with the network and clock of the process. All calls are made on the
/// control thread; callbacks are posted to it.
class ProcessEffects final : public Effects {
 public:
  /// Components that the effects use. They must outlive the effects.
  struct Parts {
    const ProcessClock& clock;
    ControlLoop& control;
    HttpClient& upstream_client;
    HttpTable& table;
    PeerLinks& links;
    EventLog& events;
    Metrics& metrics;
  };
  using ReplyFunction = std::function<void(RequestId, const Response&)>;

  /// @param process name of the process in events
  /// @param reply sends the response to a client
  ProcessEffects(Parts parts, std::string process, ReplyFunction reply);

  Time Now() const override;
  std::uint64_t Random() override;
  void Commit(const Transaction& transaction, CommitCallback done) override;
  void Read(const ReadRequest& request, ReadCallback done) override;
  void Lookup(const TransactionId& id, LookupCallback done) override;
  void ConnectPeer(const EntryId& peer, const std::string& address) override;
  void DisconnectPeer(const EntryId& peer) override;
  void SendPeer(const EntryId& peer, const PeerMessage& message) override;
  void CallUpstream(const UpstreamId& upstream, const std::string& address, const UpstreamRequest& request,
                    Time deadline, UpstreamCallback done) override;
  void Reply(RequestId request, const Response& response) override;
  void Emit(const Event& event) override;

 private:
  Parts m_parts;
  const std::string m_process;
  const ReplyFunction m_reply;
  std::mt19937_64 m_random;
};

}  // namespace jaymast
