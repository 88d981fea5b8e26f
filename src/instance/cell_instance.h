#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "cell/cell_event_sink.h"
#include "cell/leader_election.h"
#include "cell/policy_client.h"
#include "cell/state_store.h"
#include "instance/cell_term.h"
#include "instance/peer_codec.h"
#include "instance/relay.h"
#include "net/http_message.h"

namespace jaymast {

/// Translates between HTTP messages and calls of clients.
class ClientCodec {
 public:
  virtual ~ClientCodec() = default;
  virtual ClientCall Decode(const HttpRequest& request) const = 0;
  virtual HttpResponse Encode(const ClientCall& call, const ClientReply& reply) const = 0;
  /// How long the client waits, in ms; 0 when it does not tell.
  virtual std::int64_t ClientTimeoutMs(const HttpRequest& request) const = 0;
  /// Answer for a call without a result.
  virtual HttpResponse EncodeFailure(bool may_have_run) const = 0;
};

/// Sends a message to another instance. `done` gets a null pointer when there is no answer.
struct PeerResult {
  bool is_answered = false;
  bool was_sent = true;
  HttpResponse response;
};
using PeerSend =
    std::function<void(const std::string& address, HttpRequest, Time deadline, std::function<void(PeerResult)> done)>;

/// One entry instance: relays its clients' calls to the leader, makes policy calls for it, and leads when it must.
///
/// All calls run on one thread.
class CellInstance {
 public:
  struct Ports {
    StateStore& store;
    UpstreamClient& upstreams;
    PolicyClient& policy;  ///< of this instance
    CellEventSink& events;
    const ClientCodec& codec;
    PeerSend send_peer;
    CellTerm::MakeFeeds make_feeds;
    std::function<void()> request_tick;
  };

  /// @param address peer address of this instance
  /// @param cpu_millis processor share of this instance in thousandths of a core
  CellInstance(Ports ports, std::string address, std::int64_t cpu_millis, std::uint64_t rank, Time now);
  ~CellInstance();

  void OnTick(Time now, std::int64_t unix_now_ms);
  /// A call of a client; `done` is called once.
  void OnClientRequest(HttpRequest request, std::function<void(HttpResponse)> done);
  /// A message of another instance; `done` is called once.
  void OnPeerRequest(const HttpRequest& request, const std::function<void(HttpResponse)>& done);
  /// Leaves: hands the term over, and goes on to relay.
  void BeginStop();

  bool is_ready() const;
  bool can_exit() const;
  bool is_leader() const { return m_term != nullptr; }
  const CellTerm* term() const { return m_term.get(); }
  std::size_t open_calls() const { return m_relay.open_calls(); }
  /// Values of this moment by the name under which metrics show them.
  std::map<std::string, double> Gauges() const;

 private:
  class PeerPolicy;
  struct Follower {
    Time heard_at{};
    std::int64_t cpu_millis = 0;
    Time joined_at{};  ///< when its process began to follow this leader
    bool is_beat_open = false;
  };

  void BeginTerm(const LeaderRecord& record, std::int64_t version);
  void EndTerm(std::string_view reason);
  void SendToLeader(const std::string& address, const HttpRequest& request, Time deadline,
                    const std::function<void(Relay::Attempt)>& done);
  void AnswerClient(const HttpRequest& request, const std::function<void(HttpResponse, bool is_undecided)>& done);
  Beat OwnBeat() const;
  void OnBeat(const Beat& beat);
  void SendBeats();
  void SendHello();
  void UpdateAgents();
  void YieldToStronger();
  std::string ChooseSuccessor() const;
  void RequestTickets(const std::string& agent, const PolicyRequest& question, std::function<void(PolicyReply)> done);

  Ports m_ports;
  const std::string m_address;
  const std::int64_t m_cpu_millis;
  Time m_now;
  std::int64_t m_unix_now_ms = 0;
  const Time m_started_at;
  Relay m_relay;
  LeaderElection m_leadership;
  std::unique_ptr<PeerPolicy> m_peer_policy;
  std::unique_ptr<CellTerm> m_term;
  std::vector<std::pair<Time, std::unique_ptr<CellTerm>>> m_ended_terms;  ///< open calls still refer to them
  bool m_is_deposed = false;
  std::map<std::string, Follower> m_followers;
  Time m_term_began_at{};
  Time m_next_beat{};
  Time m_next_hello{};
  Time m_leader_heard_at{};
  Time m_leader_lost_at;     ///< calls are not passed to the leader from then on, unless it is heard before
  Time m_leader_wrote_at{};  ///< when the row of the leader was first seen with its present version
  std::int64_t m_leader_version = 0;
  bool m_is_stopping = false;
  std::string m_successor;
  std::uint64_t m_call_count = 0;
};

}  // namespace jaymast
