#pragma once

#include <memory>
#include <set>
#include <string>
#include <utility>

#include "base/hash.h"
#include "core/effects.h"

namespace jaymast {

/// Forwards to another Effects, and drops callbacks that arrive after this object was destroyed.
class GuardedEffects final : public Effects {
 public:
  GuardedEffects(Effects& effects, std::string process)
      : m_effects(effects), m_process(std::move(process)), m_alive(std::make_shared<bool>(true)) {}

  Time Now() const override { return m_effects.Now(); }
  std::uint64_t Random() override { return m_effects.Random(); }

  void Commit(const Transaction& transaction, CommitCallback done) override {
    m_effects.Commit(transaction, Guard<CommitReply>(std::move(done)));
  }
  void Read(const ReadRequest& request, ReadCallback done) override {
    m_effects.Read(request, Guard<ReadReply>(std::move(done)));
  }
  void Lookup(const TransactionId& id, LookupCallback done) override {
    m_effects.Lookup(id, Guard<LookupReply>(std::move(done)));
  }
  void ConnectPeer(const EntryId& peer, const std::string& address) override { m_effects.ConnectPeer(peer, address); }
  void DisconnectPeer(const EntryId& peer) override { m_effects.DisconnectPeer(peer); }
  void SendPeer(const EntryId& peer, const PeerMessage& message) override { m_effects.SendPeer(peer, message); }
  void CallUpstream(const UpstreamId& upstream, const std::string& address, const UpstreamRequest& request,
                    Time deadline, UpstreamCallback done) override {
    m_effects.CallUpstream(upstream, address, request, deadline, Guard<UpstreamReply>(std::move(done)));
  }
  /// Registers a request that needs a response.
  void Open(RequestId request) { m_open.insert(request); }

  /// Removes a request whose caller has disconnected.
  void Close(RequestId request) { m_open.erase(request); }

  const std::set<RequestId>& open() const { return m_open; }

  /// Responds to an open request and emits an event. Further responses to the request are dropped.
  void Reply(RequestId request, const Response& response) override {
    if (m_open.erase(request) == 0) return;
    Event event;
    event.kind = EventKind::kReplySent;
    event.request = request;
    event.verdict = std::string(ToString(response.verdict));
    event.detail = std::to_string(response.status) + " " + std::to_string(StableHash(response.body));
    if (response.error) event.detail += " " + std::string(ToString(response.error->id));
    Emit(event);
    m_effects.Reply(request, response);
  }

  /// Emits the event with the time and the process filled in.
  void Emit(const Event& event) override {
    Event stamped = event;
    stamped.time = Now();
    stamped.process = m_process;
    m_effects.Emit(stamped);
  }

 private:
  template <typename Reply>
  std::function<void(const Reply&)> Guard(std::function<void(const Reply&)> done) {
    return [alive = std::weak_ptr<bool>(m_alive), done = std::move(done)](const Reply& reply) {
      if (!alive.expired()) done(reply);
    };
  }

  Effects& m_effects;
  std::string m_process;
  std::set<RequestId> m_open;
  std::shared_ptr<bool> m_alive;
};

}  // namespace jaymast
