#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/effects.h"
#include "core/entry_core.h"
#include "core/entry_settings.h"
#include "testing/session_platform.h"
#include "testing/session_runner.h"
#include "testing/session_world.h"

namespace jaymast {

/// One entry process of a session: a decision core, its side effects, and its faults.
class SessionEntry final : public Effects {
 public:
  using Step = std::function<void(EntryCore&)>;

  /// What an entry sees of the session. All members outlive the entry.
  struct Surroundings {
    SessionWorld& world;
    SessionPlatform& platform;
    std::map<std::string, std::unique_ptr<SessionEntry>>& entries;
    std::map<std::string, std::unique_ptr<SessionRunner>>& runners;
    /// Called with the response, or with nothing when the connection of a request closed.
    std::function<void(RequestId, const Response*)> on_reply;
  };

  SessionEntry(Surroundings surroundings, EntrySettings settings, std::uint64_t seed);
  ~SessionEntry() override;

  void Start();
  void Kill();
  void Pause() { m_paused = true; }
  void Resume();
  void StopGracefully();

  /// Runs a step of the process, later if it is paused, never if it ends before.
  void Run(const Step& step);

  /// A request arrives. The connection is refused when no process listens.
  void OnRequest(RequestId id, const Request& request);

  bool IsRunning() const { return m_core != nullptr; }
  bool IsReady() const { return m_core != nullptr && !m_paused && m_core->IsReady(); }
  const std::string& name() const { return m_settings.name; }

  Time Now() const override { return m_world.clock.Now(); }
  std::uint64_t Random() override { return m_random(); }
  void Commit(const Transaction& transaction, CommitCallback done) override;
  void Read(const ReadRequest& request, ReadCallback done) override;
  void Lookup(const TransactionId& id, LookupCallback done) override;
  void ConnectPeer(const EntryId& peer, const std::string& address) override { m_peers[peer] = address; }
  void DisconnectPeer(const EntryId& peer) override { m_peers.erase(peer); }
  void SendPeer(const EntryId& peer, const PeerMessage& message) override;
  void CallUpstream(const UpstreamId& upstream, const std::string& address, const UpstreamRequest& request,
                    Time deadline, UpstreamCallback done) override;
  void Reply(RequestId request, const Response& response) override;
  void Emit(const Event& event) override;

 private:
  template <typename Message>
  std::function<void(const Message&)> InProcess(std::function<void(const Message&)> done);

  void AfterStep();
  void ScheduleTick();
  void PollInstances();
  void End();
  SessionEntry* FindPeer(const EntryId& peer) const;

  Surroundings m_surroundings;
  SessionWorld& m_world;
  EntrySettings m_settings;
  std::mt19937_64 m_random;
  std::unique_ptr<EntryCore> m_core;
  std::uint64_t m_generation = 0;  ///< counts the processes that ran under this name
  bool m_paused = false;
  std::vector<Step> m_pending;  ///< what arrived while the process was paused
  std::map<EntryId, std::string> m_peers;
  std::map<RequestId, bool> m_open;
  Time m_next_tick = Time::max();
};

}  // namespace jaymast
