#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "cell/cell_event_sink.h"
#include "cell/leader_election.h"
#include "cell/leader_fitness.h"
#include "cell/policy_client.h"
#include "cell/state_store.h"
#include "instance/cell_term.h"
#include "instance/load_monitor.h"
#include "instance/peer_clock.h"
#include "instance/peer_codec.h"
#include "instance/relay.h"
#include "net/http_message.h"

namespace jaymast {

/// Decodes client calls from HTTP requests and encodes their results as HTTP responses.
class ClientCodec {
 public:
  virtual ~ClientCodec() = default;
  virtual ClientCall Decode(const HttpRequest& request) const = 0;
  virtual HttpResponse Encode(const ClientCall& call, const ClientReply& reply) const = 0;
  /// Timeout of the client in ms, or 0 if the request states none.
  virtual std::int64_t ClientTimeoutMs(const HttpRequest& request) const = 0;
  /// Response to a call that produced no result.
  /// @param may_have_run whether the leader may have received the call
  virtual HttpResponse EncodeFailure(bool may_have_run) const = 0;
};

/// Result of a request to another instance.
struct PeerResult {
  bool is_answered = false;  ///< `response` is set
  bool was_sent = true;      ///< false if nothing was sent
  HttpResponse response;
};
/// Sends a request to another instance. `done` is called once.
using PeerSend =
    std::function<void(const std::string& address, HttpRequest, Time deadline, std::function<void(PeerResult)> done)>;

/// Serves clients by relaying their calls to the leader, makes policy calls for the leader, and leads when elected.
///
/// Not thread-safe: all members are called on one thread.
class CellInstance {
 public:
  struct Ports {
    StateStore& store;
    UpstreamClient& upstreams;
    PolicyClient& policy;  ///< connection of this instance to the policy service
    CellEventSink& events;
    const ClientCodec& codec;
    PeerSend send_peer;
    CellTerm::MakeFeeds make_feeds;
    std::function<void()> request_tick;
    CellOptions options;
    FeedBounds feed_bounds;
  };

  /// @param address peer address of this instance
  /// @param fitness resources of this instance that decide whether it should lead
  /// @param rank staggers the takeover attempts of the instances
  CellInstance(Ports ports, std::string address, LeaderFitness fitness, std::uint64_t rank, Time now);
  ~CellInstance();

  /// Sets the time at which the calls that follow are handled. To be called before each, as the process may have been
  /// paused since the last tick.
  void SetNow(Time now);
  void OnTick(Time now, std::int64_t unix_now_ms);
  /// Handles a client call. `done` is called once, by the client's deadline.
  void OnClientRequest(HttpRequest request, std::function<void(HttpResponse)> done);
  /// Handles a request of another instance. `done` is called once.
  void OnPeerRequest(const HttpRequest& request, const std::function<void(HttpResponse)>& done);
  /// Hands over the leadership, if any, and never takes it again. Calls are still relayed.
  /// @param answer_by latest time for the responses to all calls, also to those that no leader can decide
  void BeginStop(Time answer_by);

  bool is_ready() const;
  /// Whether shutdown has begun and this instance no longer leads.
  bool can_exit() const;
  bool is_leader() const { return m_term != nullptr; }
  const CellTerm* term() const { return m_term.get(); }
  std::size_t open_calls() const { return m_relay.open_calls(); }
  LoadMonitor& load() { return m_load; }
  /// Current gauge values by metric name.
  std::map<std::string, double> Gauges() const;

 private:
  class PolicyRouter;
  struct Follower {
    Time last_contact_at{};
    LeaderFitness fitness;
    Time joined_at{};  ///< first join announcement to this leader
    bool is_heartbeat_pending = false;
  };

  void BeginTerm(const LeaderRecord& record, std::int64_t version);
  void EndTerm(std::string_view reason);
  void SendToLeader(const std::string& address, const HttpRequest& request, const Relay::Deadlines& deadlines,
                    const std::function<void(Relay::Attempt)>& done);
  /// @param min_config_version see ClientCall
  void HandleClientCall(const HttpRequest& request, std::int64_t min_config_version,
                        const std::function<void(HttpResponse, const ClientReply&)>& done);
  /// Later calls of this instance are decided by no earlier version.
  void OnConfigVersion(std::int64_t version) { m_config_version = std::max(m_config_version, version); }
  Heartbeat BuildHeartbeat() const;
  /// Lets the relay send calls only to a leader that is reachable and not known to be unable to handle calls.
  void UpdateRelay();
  void OnHeartbeat(const Heartbeat& heartbeat);
  void SendHeartbeats();
  /// Sends a heartbeat to the first member of a group that has answered the last one, which forwards it to the others.
  void SendHeartbeatToGroup(const std::vector<std::string>& group);
  void ForwardHeartbeat(const Heartbeat& heartbeat);
  void OnFollowerContact(const std::string& address);
  void SendJoinAnnouncement();
  void UpdatePolicyCallers();
  void YieldToFitterInstance();
  /// Hands over if the term has not become ready in time.
  void EndUnreadyTerm();
  /// Address of the fittest follower that is reachable, or empty.
  std::string ChooseSuccessor() const;
  void RequestTickets(const std::string& caller, const PolicyRequest& policy_request,
                      std::function<void(PolicyReply)> done);

  Ports m_ports;
  const std::string m_address;
  const LeaderFitness m_fitness;
  Time m_now;
  std::int64_t m_unix_now_ms = 0;
  const Time m_started_at;
  LoadMonitor m_load;
  PeerClock m_leader_clock;
  Relay m_relay;
  LeaderElection m_election;
  std::unique_ptr<PolicyRouter> m_policy_router;
  std::unique_ptr<CellTerm> m_term;
  std::vector<std::pair<Time, std::unique_ptr<CellTerm>>> m_ended_terms;  ///< kept while open calls may refer to them
  bool m_is_deposed = false;
  std::map<std::string, Follower> m_followers;
  Time m_term_began_at{};
  Time m_next_heartbeat_at{};
  std::set<std::string> m_forwarding_to;        ///< followers with a forwarded heartbeat in flight
  std::set<std::string> m_answered_forwarding;  ///< followers that have answered since the last reply to the leader
  Time m_next_join_at{};
  Time m_leader_contact_at{};
  Time m_leader_unreachable_at;        ///< calls are withheld from then on unless the leader makes contact before
  Time m_leader_version_changed_at{};  ///< when the current row version was first reported
  std::int64_t m_leader_version = 0;
  std::uint64_t m_contact_epoch = 0;  ///< epoch of the last heartbeat
  std::uint64_t m_ready_epoch = 0;    ///< epoch whose leader has reported that it can handle calls
  std::uint64_t m_unready_epoch = 0;  ///< epoch whose leader has only reported that it cannot yet; 0 if none
  bool m_was_term_ready = false;
  bool m_is_handing_over = false;
  bool m_is_stopping = false;
  std::string m_successor;
  std::string m_passed_over;  ///< did not take over although named as the successor; not named again for some time
  Time m_passed_over_until{};
  std::uint64_t m_call_count = 0;
  std::int64_t m_config_version = 0;  ///< highest by which this instance has answered a call, or of which it has heard
};

}  // namespace jaymast
