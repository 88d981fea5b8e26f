#include "instance/cell_instance.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <tuple>
#include <utility>

#include "base/http_status.h"
#include "instance/peer_codec.h"

namespace jaymast {
namespace {

constexpr Duration kHeartbeatInterval{150'000};
/// Up to this number of followers the leader sends all heartbeats itself: 160 a second. More followers are split into
/// groups whose first member forwards the heartbeats, so that the leader's load grows with the square root.
constexpr std::size_t kMaxDirectHeartbeats = 24;
constexpr Duration kHeartbeatTimeout{500'000};
/// A longer gap counts as missing heartbeats, not as the interval between them.
constexpr Duration kMaxHeartbeatGap{300'000};
/// A follower without contact to its leader for this time announces itself again.
constexpr Duration kJoinInterval{300'000};
/// A follower that has not responded for this time gets no policy calls.
constexpr Duration kFollowerTimeout{1'200'000};
/// An instance without contact to a leader for this time reports itself as not ready.
constexpr Duration kReadyLeaderTimeout{800'000};
/// A leader that has committed nothing for this time can't accept work. Longer than two transactions of a slow store.
constexpr Duration kReadyStoreTimeout{1'200'000};
/// Calls are relayed only to a leader that made contact within this time, or within `kMissedHeartbeats` heartbeat
/// intervals if that is longer: the outcome of a call sent into a network partition would be unknown.
constexpr Duration kLeaderContactTimeout{500'000};
constexpr std::int64_t kMissedHeartbeats = 3;
/// Timeout of a client that states none.
constexpr std::int64_t kDefaultClientTimeoutMs = 3000;
/// The response must reach the client before its timeout. A call takes about 25 ms, so the margin is limited for short
/// timeouts.
constexpr std::int64_t kResponseMarginMs = 120;
constexpr std::int64_t kMarginDivisor = 4;  ///< the margin is at most the timeout divided by this
/// An ended term is kept for this time, as open calls may refer to it. No call has a later deadline.
constexpr Duration kEndedTermRetention = kMaxCallDuration + Duration{2'000'000};
/// Time allowed beyond the timeout of a policy call made by another instance.
constexpr std::int64_t kPolicyMarginMs = 200;
/// A leader does not yield right after a takeover: until then it does not know all followers.
constexpr Duration kMinTermBeforeYield{1'500'000};
/// An instance whose term did not become ready lets the others campaign for this time.
constexpr Duration kUnreadyPause{2'000'000};
/// A follower that did not take over when named as the successor may not reach the store. The leader after it does not
/// name it for this time, as each vain handover costs half a second without a leader.
constexpr Duration kPassedOverTime{10'000'000};
constexpr const char* kHeartbeatPath = "/peer/beat";
constexpr const char* kJoinAnnouncementPath = "/peer/hello";
constexpr const char* kPolicyCallPath = "/peer/advise";
constexpr const char* kCallIdHeader = "Jaymast-Call-Id";
constexpr const char* kUndecidedHeader = "Jaymast-Undecided";
/// Version of the configuration by which a call was decided.
constexpr const char* kConfigVersionHeader = "Jaymast-Config-Version";
/// A leader that does not know this version yet must not decide the call.
constexpr const char* kMinConfigVersionHeader = "Jaymast-Min-Config-Version";
/// When a relayed call was sent, and by when its response is of use, in us on the clock of the leader.
constexpr const char* kSentAtHeader = "Jaymast-Sent-At";
constexpr const char* kDeadlineHeader = "Jaymast-Deadline";
/// Time in us after which the leader handled a relayed call.
constexpr const char* kHandlingDelayHeader = "Jaymast-Handling-Delay";

HttpRequest PeerMessage(const char* path, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.target = path;
  request.body = std::move(body);
  return request;
}

/// Reads the number in a header of another instance, 0 if there is none.
std::int64_t ReadNumber(std::string_view text) {
  std::int64_t number = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
  return ec == std::errc() ? std::max<std::int64_t>(0, number) : 0;
}

/// Reads the time in a header of another instance, or nothing if it does not know the clock of this one.
std::optional<Time> ReadTime(std::string_view text) {
  const std::int64_t micros = ReadNumber(text);
  if (micros == 0) return std::nullopt;
  return TimeFromMicros(micros);
}

}  // namespace

/// Routes the leader's policy calls through this instance or another one.
class CellInstance::PolicyRouter : public PolicyClient {
 public:
  explicit PolicyRouter(CellInstance& instance) : m_instance(instance) {}
  void RequestTickets(const std::string& caller, const PolicyRequest& policy_request,
                      std::function<void(PolicyReply)> done) override {
    m_instance.RequestTickets(caller, policy_request, std::move(done));
  }

 private:
  CellInstance& m_instance;
};

CellInstance::CellInstance(Ports ports, std::string address, LeaderFitness fitness, std::uint64_t rank, Time now)
    : m_ports(std::move(ports)),
      m_address(std::move(address)),
      m_fitness(fitness),
      m_now(now),
      m_started_at(now),
      m_load(m_ports.events, now),
      m_relay(
          {[this](const std::string& leader, const HttpRequest& request, const Relay::Deadlines& deadlines,
                  const std::function<void(Relay::Attempt)>& done) { SendToLeader(leader, request, deadlines, done); },
           [this](const HttpRequest& request, Duration waited, bool may_have_run) {
             m_ports.events.Emit("call.gave_up", {{"method", request.method},
                                                  {"target", request.target},
                                                  {"waited_ms", std::to_string(ToMillis(waited))},
                                                  {"may_have_run", may_have_run ? "true" : "false"}});
             return m_ports.codec.EncodeFailure(may_have_run);
           }},
          now),
      m_election(m_ports.store, m_address, rank, fitness.GetClass(),
                 [this](const LeaderRecord& record, std::int64_t version) { BeginTerm(record, version); }),
      m_policy_router(std::make_unique<PolicyRouter>(*this)),
      m_leader_unreachable_at(Time{} + kLeaderContactTimeout) {}

CellInstance::~CellInstance() = default;

void CellInstance::SetNow(Time now) {
  m_now = now;
  m_relay.SetNow(now);
  if (m_term != nullptr) m_term->SetNow(now);
}

void CellInstance::OnTick(Time now, std::int64_t unix_now_ms) {
  m_now = now;
  m_unix_now_ms = unix_now_ms;
  m_election.OnTick(now);
  if (m_term != nullptr) {
    m_term->OnTick(now, unix_now_ms);
    if (m_term->committer().is_handed_over()) EndTerm("handed over");
  }
  if (m_is_deposed) EndTerm("another instance took over");
  if (m_term != nullptr) {
    // Followers hold their calls until a heartbeat says that the term is ready.
    const bool became_ready = m_term->is_loaded() && !std::exchange(m_was_term_ready, m_term->is_loaded());
    if (became_ready || now >= m_next_heartbeat_at) SendHeartbeats();
    YieldToFitterInstance();
    EndUnreadyTerm();
    // Preserves the time left until the leader counts as unreachable, for the leader after this term.
    m_leader_unreachable_at += now - m_leader_contact_at;
    m_leader_contact_at = now;
  } else {
    const std::string& leader = m_election.leader_address();
    const bool is_known = !leader.empty() && leader != m_address;
    const bool is_new = m_contact_epoch != m_election.leader_epoch();
    const bool lacks_contact = is_new || now - m_leader_contact_at > kJoinInterval;
    if (is_known && now >= m_next_join_at && lacks_contact) SendJoinAnnouncement();
  }
  UpdateRelay();
  m_relay.OnTick(now);
  std::erase_if(m_ended_terms, [now](const auto& entry) { return now - entry.first > kEndedTermRetention; });
}

void CellInstance::UpdateRelay() {
  if (m_term != nullptr) return m_relay.SetLeader(m_term->is_loaded(), "", m_term->committer().epoch(), m_now);
  const std::string& leader = m_election.leader_address();
  const std::uint64_t epoch = m_election.leader_epoch();
  const bool is_known = !leader.empty() && leader != m_address && m_now < m_leader_unreachable_at;
  m_relay.SetLeader(is_known && epoch != m_unready_epoch, leader, epoch, m_now);
}

void CellInstance::BeginTerm(const LeaderRecord& record, std::int64_t version) {
  m_ports.events.Emit("term.begun", {{"epoch", std::to_string(record.epoch)}});
  m_is_deposed = false;
  m_term_began_at = m_now;
  m_was_term_ready = false;
  m_is_handing_over = false;
  m_successor.clear();
  m_passed_over = m_election.passed_over_successor();
  m_passed_over_until = m_now + kPassedOverTime;
  m_followers.clear();
  m_term = std::make_unique<CellTerm>(
      m_ports.store,
      Scheduler::Ports{m_ports.upstreams, *m_policy_router, m_ports.events, m_ports.options, m_ports.feed_bounds},
      record, version, m_now, m_ports.make_feeds, m_ports.request_tick, [this] { m_is_deposed = true; });
  UpdatePolicyCallers();
  if (m_is_stopping) m_term->HandOver("");
  m_ports.request_tick();
}

void CellInstance::EndTerm(std::string_view reason) {
  m_is_deposed = false;
  if (m_term == nullptr) return;
  m_ports.events.Emit("term.ended",
                      {{"epoch", std::to_string(m_term->committer().epoch())}, {"reason", std::string(reason)}});
  const bool is_handed_over = m_term->committer().is_handed_over();
  m_term->Retire();
  m_ended_terms.emplace_back(m_now, std::move(m_term));
  m_election.OnDeposed(m_now);
  m_relay.SetLeader(false, "", 0, m_now);
  if (!is_handed_over || m_successor.empty()) return;
  m_ports.send_peer(m_successor, PeerMessage(kHeartbeatPath, EncodeHeartbeat(Heartbeat{})), m_now + kHeartbeatTimeout,
                    [](const PeerResult&) {});
}

void CellInstance::OnClientRequest(HttpRequest request, std::function<void(HttpResponse)> done) {
  const std::int64_t stated_ms = m_ports.codec.ClientTimeoutMs(request);
  const std::int64_t timeout_ms =
      std::min(stated_ms > 0 ? stated_ms : kDefaultClientTimeoutMs, ToMillis(kMaxCallDuration));
  const std::int64_t margin_ms = std::min(kResponseMarginMs, timeout_ms / kMarginDivisor);
  const Time deadline = m_now + std::chrono::milliseconds(std::max<std::int64_t>(1, timeout_ms - margin_ms));
  // Unique across instances and restarts: no two processes with one address start in the same microsecond.
  request.headers.emplace(
      request.headers.begin(), kCallIdHeader,
      m_address + "-" + std::to_string(ToMicros(m_started_at)) + "-" + std::to_string(++m_call_count));
  m_relay.OnCall(std::move(request), m_now, deadline, std::move(done));
}

void CellInstance::SendToLeader(const std::string& address, const HttpRequest& request,
                                const Relay::Deadlines& deadlines, const std::function<void(Relay::Attempt)>& done) {
  if (address.empty()) {
    return HandleClientCall(request, m_config_version, [this, done](HttpResponse response, const ClientReply& reply) {
      OnConfigVersion(reply.config_version);
      done({true, true, reply.outcome == ClientOutcome::kNotLeader, std::move(response)});
    });
  }
  HttpRequest relayed = request;
  std::erase_if(relayed.headers, [](const auto& header) { return header.first == "Connection"; });
  // The first header of a name counts, so a client can't set it.
  relayed.headers.emplace(relayed.headers.begin(), kMinConfigVersionHeader, std::to_string(m_config_version));
  // Until its first heartbeat, the clock of a new leader is not known.
  const bool is_clock_known = m_contact_epoch == m_election.leader_epoch();
  for (const auto& [name, time] : {std::pair{kSentAtHeader, m_now}, std::pair{kDeadlineHeader, deadlines.call}}) {
    const std::optional<Time> peer_time = is_clock_known ? m_leader_clock.ToPeer(time) : std::nullopt;
    const std::int64_t micros = ToMicros(peer_time.value_or(Time{}));
    relayed.headers.emplace(relayed.headers.begin(), name, std::to_string(micros));
  }
  m_ports.send_peer(address, std::move(relayed), deadlines.attempt, [this, done](PeerResult result) {
    const bool is_undecided = result.is_answered && !FindHeader(result.response.headers, kUndecidedHeader).empty();
    OnConfigVersion(ReadNumber(FindHeader(result.response.headers, kConfigVersionHeader)));
    const std::string_view delay = FindHeader(result.response.headers, kHandlingDelayHeader);
    Relay::Attempt attempt{result.is_answered, result.was_sent, is_undecided, {}};
    if (!delay.empty()) attempt.delay = Duration(ReadNumber(delay));
    std::erase_if(result.response.headers, [](const auto& header) {
      return header.first == kConfigVersionHeader || header.first == kHandlingDelayHeader;
    });
    attempt.response = std::move(result.response);
    done(std::move(attempt));
  });
}

void CellInstance::HandleClientCall(const HttpRequest& request, std::int64_t min_config_version,
                                    const std::function<void(HttpResponse, const ClientReply&)>& done) {
  if (m_term == nullptr) return done(m_ports.codec.EncodeFailure(false), {ClientOutcome::kNotLeader});
  ClientCall call = m_ports.codec.Decode(request);
  call.call_id = std::string(FindHeader(request.headers, kCallIdHeader));
  call.min_config_version = min_config_version;
  m_term->OnClientCall(
      call, [this, call, done](const ClientReply& reply) { done(m_ports.codec.Encode(call, reply), reply); });
}

void CellInstance::OnPeerRequest(const HttpRequest& request, const std::function<void(HttpResponse)>& done) {
  if (!FindHeader(request.headers, kCallIdHeader).empty()) {
    const std::int64_t min_config_version = ReadNumber(FindHeader(request.headers, kMinConfigVersionHeader));
    const std::optional<Time> sent_at = ReadTime(FindHeader(request.headers, kSentAtHeader));
    const std::optional<Time> deadline = ReadTime(FindHeader(request.headers, kDeadlineHeader));
    const bool is_expired = deadline && m_now >= *deadline;
    HttpHeaders headers;
    if (sent_at) {
      m_load.OnRelayedCall(*sent_at, m_now, is_expired);
      const Duration delay = std::max(Duration::zero(), m_now - *sent_at);
      headers.emplace_back(kHandlingDelayHeader, std::to_string(delay.count()));
    }
    if (is_expired) {
      headers.emplace_back(kUndecidedHeader, "1");
      return done({kStatusUnavailable, std::move(headers), ""});
    }
    return HandleClientCall(
        request, min_config_version, [done, headers](HttpResponse response, const ClientReply& reply) {
          response.headers.insert(response.headers.end(), headers.begin(), headers.end());
          if (reply.outcome == ClientOutcome::kNotLeader) response.headers.emplace_back(kUndecidedHeader, "1");
          if (reply.config_version > 0) {
            response.headers.emplace_back(kConfigVersionHeader, std::to_string(reply.config_version));
          }
          done(std::move(response));
        });
  }
  if (request.target == kHeartbeatPath) {
    const std::optional<Heartbeat> heartbeat = DecodeHeartbeat(request.body);
    if (heartbeat && heartbeat->record.address.empty()) {
      m_election.RequestRead();
      m_ports.request_tick();
    } else if (heartbeat) {
      OnHeartbeat(*heartbeat);
      if (!heartbeat->forward_to.empty()) {
        ForwardHeartbeat(*heartbeat);
        return done({kStatusOk, {}, EncodeHeartbeatReply(std::exchange(m_answered_forwarding, {}))});
      }
    }
    return done({kStatusNoContent, {}, ""});
  }
  if (request.target == kJoinAnnouncementPath) {
    const std::optional<JoinAnnouncement> follower = DecodeJoinAnnouncement(request.body);
    if (m_term == nullptr || !follower) return done({kStatusConflict, {}, ""});
    Follower& entry = m_followers[follower->address];
    entry.fitness = follower->fitness;
    if (entry.joined_at == Time{}) entry.joined_at = m_now;
    entry.last_contact_at = m_now;
    UpdatePolicyCallers();
    return done({kStatusOk, {}, EncodeHeartbeat(BuildHeartbeat())});
  }
  if (request.target == kPolicyCallPath) {
    const std::optional<PolicyRequest> policy_request = DecodePolicyRequest(request.body);
    if (!policy_request) return done({kStatusBadRequest, {}, ""});
    return m_ports.policy.RequestTickets("", *policy_request, [done](const PolicyReply& policy_reply) {
      done({policy_reply.is_answered ? kStatusOk : kStatusUnavailable, {}, EncodePolicyReply(policy_reply)});
    });
  }
  done({kStatusNotFound, {}, ""});
}

void CellInstance::RequestTickets(const std::string& caller, const PolicyRequest& policy_request,
                                  std::function<void(PolicyReply)> done) {
  if (caller.empty()) return m_ports.policy.RequestTickets("", policy_request, std::move(done));
  const Time deadline = m_now + std::chrono::milliseconds(policy_request.timeout_ms + kPolicyMarginMs);
  m_ports.send_peer(caller, PeerMessage(kPolicyCallPath, EncodePolicyRequest(policy_request)), deadline,
                    [done = std::move(done)](const PeerResult& result) {
                      PolicyReply unanswered;
                      unanswered.may_be_pending = result.was_sent;
                      if (!result.is_answered) return done(unanswered);
                      done(DecodePolicyReply(result.response.body).value_or(unanswered));
                    });
}

void CellInstance::SendHeartbeats() {
  m_next_heartbeat_at = m_now + kHeartbeatInterval;
  const auto removed = std::erase_if(
      m_followers, [this](const auto& entry) { return m_now - entry.second.last_contact_at > kFollowerTimeout; });
  if (removed > 0) UpdatePolicyCallers();
  const std::size_t count = m_followers.size();
  const std::size_t group_size =
      count <= kMaxDirectHeartbeats ? 1 : static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(count))));
  std::vector<std::string> group;
  for (const auto& [address, follower] : m_followers) {
    group.push_back(address);
    if (group.size() < group_size) continue;
    SendHeartbeatToGroup(group);
    group.clear();
  }
  if (!group.empty()) SendHeartbeatToGroup(group);
}

void CellInstance::SendHeartbeatToGroup(const std::vector<std::string>& group) {
  const auto head = std::find_if(group.begin(), group.end(), [this](const std::string& address) {
    return !m_followers[address].is_heartbeat_pending;
  });
  if (head == group.end()) return;
  Heartbeat heartbeat = BuildHeartbeat();
  for (const std::string& address : group) {
    if (address != *head) heartbeat.forward_to.push_back(address);
  }
  m_followers[*head].is_heartbeat_pending = true;
  m_ports.send_peer(*head, PeerMessage(kHeartbeatPath, EncodeHeartbeat(heartbeat)), m_now + kHeartbeatTimeout,
                    [this, address = *head](const PeerResult& result) {
                      const auto found = m_followers.find(address);
                      if (found == m_followers.end()) return;
                      found->second.is_heartbeat_pending = false;
                      if (!result.is_answered) return;
                      OnFollowerContact(address);
                      for (const std::string& answered : DecodeHeartbeatReply(result.response.body)) {
                        OnFollowerContact(answered);
                      }
                    });
}

void CellInstance::OnFollowerContact(const std::string& address) {
  const auto found = m_followers.find(address);
  if (found != m_followers.end()) found->second.last_contact_at = m_now;
}

void CellInstance::ForwardHeartbeat(const Heartbeat& heartbeat) {
  Heartbeat forwarded = heartbeat;
  forwarded.forward_to.clear();
  const HttpRequest message = PeerMessage(kHeartbeatPath, EncodeHeartbeat(forwarded));
  for (const std::string& address : heartbeat.forward_to) {
    if (!m_forwarding_to.insert(address).second) continue;
    m_ports.send_peer(address, message, m_now + kHeartbeatTimeout, [this, address](const PeerResult& result) {
      m_forwarding_to.erase(address);
      if (result.is_answered) m_answered_forwarding.insert(address);
    });
  }
}

void CellInstance::SendJoinAnnouncement() {
  m_next_join_at = m_now + kJoinInterval;
  m_ports.send_peer(m_election.leader_address(),
                    PeerMessage(kJoinAnnouncementPath, EncodeJoinAnnouncement({m_address, m_fitness})),
                    m_now + kHeartbeatTimeout, [this](const PeerResult& result) {
                      if (!result.was_sent) m_election.OnLeaderConnectionRefused(m_now);
                      if (!result.is_answered || result.response.status != kStatusOk) return;
                      if (const std::optional<Heartbeat> heartbeat = DecodeHeartbeat(result.response.body)) {
                        OnHeartbeat(*heartbeat);
                      }
                    });
}

Heartbeat CellInstance::BuildHeartbeat() const {
  Heartbeat heartbeat{m_term->committer().committed_record(), m_term->committer().committed_version(), {}};
  heartbeat.is_ready = m_term->is_loaded();
  heartbeat.config_version = m_term->scheduler().config_version();
  heartbeat.sent_at = m_now;
  // Right after a takeover most followers are not known yet, and a fit one may be among them.
  if (m_now - m_term_began_at < kMinTermBeforeYield || m_followers.empty()) return heartbeat;
  heartbeat.fittest_class = LeaderClass::kShortOfProcessor;
  for (const auto& [address, follower] : m_followers) {
    heartbeat.fittest_class = std::max(heartbeat.fittest_class, follower.fitness.GetClass());
  }
  return heartbeat;
}

void CellInstance::OnHeartbeat(const Heartbeat& heartbeat) {
  OnConfigVersion(heartbeat.config_version);
  if (m_term != nullptr || heartbeat.record.epoch < m_election.leader_epoch()) return;
  const Duration gap = std::min(m_now - m_leader_contact_at, kMaxHeartbeatGap);
  m_leader_unreachable_at = m_now + std::max(kLeaderContactTimeout, gap * kMissedHeartbeats);
  m_leader_contact_at = m_now;
  m_election.SetFittestClass(heartbeat.fittest_class);
  const std::uint64_t epoch = heartbeat.record.epoch;
  if (epoch != m_contact_epoch) m_leader_clock.Reset();
  if (heartbeat.sent_at) m_leader_clock.OnMessage(*heartbeat.sent_at, m_now);
  if (heartbeat.is_ready) {
    m_ready_epoch = epoch;
  } else if (m_ready_epoch != epoch) {
    // A heartbeat of this epoch that says otherwise and arrives later was sent earlier: a term that is ready stays so.
    m_unready_epoch = epoch;
  }
  if (heartbeat.is_ready && m_unready_epoch == epoch) m_unready_epoch = 0;
  m_contact_epoch = epoch;
  if (heartbeat.version != m_leader_version) m_leader_version_changed_at = m_now;
  m_leader_version = heartbeat.version;
  m_election.OnLeaderProgress(heartbeat.record, heartbeat.version, m_now);
}

void CellInstance::UpdatePolicyCallers() {
  if (m_term == nullptr) return;
  std::vector<std::string> callers = {""};
  for (const auto& [address, follower] : m_followers) callers.push_back(address);
  m_term->SetPolicyCallers(callers);
}

void CellInstance::BeginStop(Time answer_by) {
  if (m_is_stopping) return;
  m_is_stopping = true;
  m_relay.SetLatestDeadline(answer_by);
  m_election.Retire();
  m_ports.events.Emit("instance.stopping", {{"open_calls", std::to_string(m_relay.open_calls())}});
  if (m_term == nullptr) return;
  m_successor = ChooseSuccessor();
  m_term->HandOver(m_successor);
  m_ports.request_tick();
}

std::string CellInstance::ChooseSuccessor() const {
  // In a rolling restart, the follower that joined last is the least likely to restart next.
  std::string best;
  std::tuple<LeaderClass, std::int64_t, Time> best_key{};
  for (const auto& [address, follower] : m_followers) {
    if (m_now - follower.last_contact_at > kHeartbeatTimeout) continue;
    if (address == m_passed_over && m_now < m_passed_over_until) continue;
    const std::tuple key{follower.fitness.GetClass(), follower.fitness.cpu_millis, follower.joined_at};
    if (!best.empty() && key < best_key) continue;
    best_key = key;
    best = address;
  }
  return best;
}

void CellInstance::YieldToFitterInstance() {
  if (m_is_handing_over || m_is_stopping || m_now - m_term_began_at < kMinTermBeforeYield) return;
  const std::string successor = ChooseSuccessor();
  if (successor.empty() || !m_fitness.YieldsTo(m_followers[successor].fitness)) return;
  m_ports.events.Emit("term.yielded",
                      {{"epoch", std::to_string(m_term->committer().epoch())}, {"successor", successor}});
  m_is_handing_over = true;
  m_successor = successor;
  m_term->HandOver(successor);
}

void CellInstance::EndUnreadyTerm() {
  if (m_is_handing_over || m_is_stopping || !m_term->is_overdue()) return;
  m_is_handing_over = true;
  m_successor = ChooseSuccessor();
  m_election.WithholdUntil(m_now + kUnreadyPause);
  m_term->HandOverUnready(m_successor);
}

bool CellInstance::is_ready() const {
  if (m_is_stopping) return false;
  // A leader partitioned from the store may still reach followers on its side, so contact alone is not enough.
  if (m_term != nullptr) return !m_term->committer().IsStalled(m_now, kReadyStoreTimeout);
  return m_now - m_leader_contact_at < kReadyLeaderTimeout && m_now - m_leader_version_changed_at < kReadyStoreTimeout;
}

std::map<std::string, double> CellInstance::Gauges() const {
  const auto seconds_since = [this](Time since) { return std::chrono::duration<double>(m_now - since).count(); };
  std::map<std::string, double> gauges = {
      {"jaymast_leader", m_term != nullptr ? 1 : 0},
      {"jaymast_ready", is_ready() ? 1 : 0},
      {"jaymast_epoch", static_cast<double>(m_election.leader_epoch())},
      {"jaymast_open_calls", static_cast<double>(m_relay.open_calls())},
      {"jaymast_waiting_calls", static_cast<double>(m_relay.waiting_calls())},
      {"jaymast_call_window", m_relay.window().limit()},
      {"jaymast_leader_class", static_cast<double>(m_fitness.GetClass())},
  };
  gauges.merge(m_load.Gauges());
  if (m_term == nullptr) {
    if (m_leader_contact_at != Time{}) gauges["jaymast_leader_silence_seconds"] = seconds_since(m_leader_contact_at);
    return gauges;
  }
  const Scheduler& scheduler = m_term->scheduler();
  gauges["jaymast_unconfirmed_seconds"] = seconds_since(m_term->committer().confirmed_at());
  for (const FeedTopic topic : {FeedTopic::kConfiguration, FeedTopic::kUpstreams, FeedTopic::kDomains}) {
    const Duration age = scheduler.freshness().AgeAt(topic, m_now);
    gauges["jaymast_" + std::string(ToString(topic)) + "_age_seconds"] = std::chrono::duration<double>(age).count();
  }
  gauges["jaymast_commit_callbacks"] = static_cast<double>(scheduler.CountCommitCallbacks());
  gauges["jaymast_postponed_starts"] = static_cast<double>(scheduler.postponed_starts());
  gauges["jaymast_pending_record_bytes"] = static_cast<double>(scheduler.pending_record_bytes());
  gauges["jaymast_active_jobs"] = static_cast<double>(scheduler.active_jobs());
  gauges["jaymast_early_cancels"] = static_cast<double>(scheduler.early_cancels().size());
  gauges["jaymast_known_jobs"] = static_cast<double>(scheduler.known_jobs());
  gauges["jaymast_uncommitted_jobs"] = static_cast<double>(scheduler.uncommitted_jobs());
  gauges["jaymast_record_rows"] = static_cast<double>(scheduler.record_rows());
  gauges["jaymast_upstreams"] = static_cast<double>(scheduler.upstreams());
  gauges["jaymast_usable_upstreams"] = static_cast<double>(scheduler.CountUsableUpstreams());
  gauges["jaymast_placement_checks"] = static_cast<double>(scheduler.placement_checks());
  gauges["jaymast_upstreams_with_speed"] = static_cast<double>(scheduler.speeds().known());
  gauges["jaymast_upstream_speed_spread"] = scheduler.speeds().spread();
  gauges["jaymast_unacknowledged_ends"] = static_cast<double>(scheduler.CountUnacknowledgedEnds());
  gauges["jaymast_longest_wait_seconds"] = std::chrono::duration<double>(scheduler.longest_wait()).count();
  gauges["jaymast_waiting_steps"] = static_cast<double>(scheduler.waiting_steps());
  scheduler.waiting_work().AddGauges(gauges);
  gauges["jaymast_open_policy_calls"] = static_cast<double>(scheduler.policy_calls().CountOpenCalls());
  gauges["jaymast_blocked_policy_callers"] = static_cast<double>(scheduler.policy_calls().CountBlockedCallers());
  gauges["jaymast_unready_terms"] = static_cast<double>(m_term->committer().unready_terms());
  gauges["jaymast_expected_policy_wait_seconds"] =
      std::chrono::duration<double>(scheduler.policy_planner().ExpectedWait(0)).count();
  gauges["jaymast_followers"] = static_cast<double>(m_followers.size());
  return gauges;
}

bool CellInstance::can_exit() const { return m_is_stopping && m_term == nullptr; }

}  // namespace jaymast
