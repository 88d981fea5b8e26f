#include "instance/cell_instance.h"

#include <algorithm>
#include <utility>

#include "base/http_status.h"
#include "instance/peer_codec.h"

namespace jaymast {
namespace {

/// The leader shows its progress to each follower this often.
constexpr Duration kBeatPause{150'000};
/// With many followers beats are rarer, so that their cost for the leader is bounded: 160 a second.
constexpr Duration kBeatPausePerFollower{6'250};
constexpr Duration kBeatTime{500'000};
/// A longer gap is no pause between beats but a silence.
constexpr Duration kMaxBeatGap{300'000};
/// A follower that has not heard of its leader for this time announces itself again.
constexpr Duration kHelloPause{300'000};
/// A follower that did not answer for this time makes no policy calls.
constexpr Duration kFollowerSilence{1'200'000};
/// An instance that has not heard of a leader for this time sends its clients elsewhere.
constexpr Duration kReadySilence{800'000};
/// A leader that has written nothing for this time can't accept work; above two transactions of a slow store.
constexpr Duration kReadyStall{1'200'000};
/// Calls are passed to a leader that has been heard of within this time, or within some of its beats where these are
/// rarer. Of a call that is sent into a cut nobody can tell whether it ran.
constexpr Duration kLeaderSilence{500'000};
constexpr std::int64_t kBeatsOfSilence = 3;
/// A client's call is answered at the latest after this time, unless the client tells how long it waits.
constexpr std::int64_t kDefaultPatienceMs = 3000;
/// The answer must reach the client before it gives up. A call takes about 25 ms, so a short patience is not used up by
/// the margin.
constexpr std::int64_t kAnswerMarginMs = 120;
constexpr std::int64_t kMarginPart = 4;  ///< the margin is at most this part of the patience
/// Calls of an ended term have deadlines below this time.
constexpr Duration kEndedTermLife{12'000'000};
/// Time beyond the expected one that a policy call of another instance may take.
constexpr std::int64_t kPolicyMarginMs = 600;
/// An instance below this processor share leads only if no stronger one does: a leader uses 0.2 cores at 350 upstreams.
constexpr std::int64_t kStrongCpuMillis = 200;
/// A leader yields to a follower with this many times its processor share, but not right after a takeover.
constexpr std::int64_t kStrongerFactor = 2;
constexpr Duration kYieldAfter{1'500'000};
constexpr const char* kBeatPath = "/peer/beat";
constexpr const char* kHelloPath = "/peer/hello";
constexpr const char* kAdvisePath = "/peer/advise";
constexpr const char* kCallIdHeader = "Jaymast-Call-Id";
constexpr const char* kUndecidedHeader = "Jaymast-Undecided";

HttpRequest PeerMessage(const char* path, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.target = path;
  request.body = std::move(body);
  return request;
}

}  // namespace

/// Routes the leader's policy calls to this instance or to another one.
class CellInstance::PeerPolicy : public PolicyClient {
 public:
  explicit PeerPolicy(CellInstance& instance) : m_instance(instance) {}
  void RequestTickets(const std::string& agent, const PolicyRequest& question,
                      std::function<void(PolicyReply)> done) override {
    m_instance.RequestTickets(agent, question, std::move(done));
  }

 private:
  CellInstance& m_instance;
};

CellInstance::CellInstance(Ports ports, std::string address, std::int64_t cpu_millis, std::uint64_t rank, Time now)
    : m_ports(std::move(ports)),
      m_address(std::move(address)),
      m_cpu_millis(cpu_millis),
      m_now(now),
      m_started_at(now),
      m_relay(
          {[this](const std::string& leader, const HttpRequest& request, Time deadline,
                  const std::function<void(Relay::Attempt)>& done) { SendToLeader(leader, request, deadline, done); },
           [this](const HttpRequest& request, Duration waited, bool may_have_run) {
             m_ports.events.Emit("call.gave_up", {{"method", request.method},
                                                  {"target", request.target},
                                                  {"waited_ms", std::to_string(ToMillis(waited))},
                                                  {"may_have_run", may_have_run ? "true" : "false"}});
             return m_ports.codec.EncodeFailure(may_have_run);
           }}),
      m_leadership(m_ports.store, m_address, rank, cpu_millis < kStrongCpuMillis,
                   [this](const LeaderRecord& record, std::int64_t version) { BeginTerm(record, version); }),
      m_peer_policy(std::make_unique<PeerPolicy>(*this)),
      m_leader_lost_at(Time{} + kLeaderSilence) {}

CellInstance::~CellInstance() = default;

void CellInstance::OnTick(Time now, std::int64_t unix_now_ms) {
  m_now = now;
  m_unix_now_ms = unix_now_ms;
  m_leadership.OnTick(now);
  if (m_term != nullptr) {
    m_term->OnTick(now, unix_now_ms);
    if (m_term->journal().is_handed_over()) EndTerm("handed over");
  }
  if (m_is_deposed) EndTerm("another instance took over");
  if (m_term != nullptr) {
    if (now >= m_next_beat) SendBeats();
    YieldToStronger();
    m_relay.SetLeader(true, "", m_term->journal().epoch(), now);
    // After the term the next leader has as much time to be heard as the last one had.
    m_leader_lost_at += now - m_leader_heard_at;
    m_leader_heard_at = now;
  } else {
    const std::string& leader = m_leadership.leader_address();
    const bool is_known = !leader.empty() && leader != m_address;
    m_relay.SetLeader(is_known && now < m_leader_lost_at, leader, m_leadership.leader_epoch(), now);
    if (is_known && now >= m_next_hello && now - m_leader_heard_at > kHelloPause) SendHello();
  }
  m_relay.OnTick(now);
  std::erase_if(m_ended_terms, [now](const auto& entry) { return now - entry.first > kEndedTermLife; });
}

void CellInstance::BeginTerm(const LeaderRecord& record, std::int64_t version) {
  m_ports.events.Emit("term.begun", {{"epoch", std::to_string(record.epoch)}});
  m_is_deposed = false;
  m_term_began_at = m_now;
  m_successor.clear();
  m_followers.clear();
  m_term = std::make_unique<CellTerm>(
      m_ports.store, Scheduler::Ports{m_ports.upstreams, *m_peer_policy, m_ports.events}, record, version, m_now,
      m_ports.make_feeds, m_ports.request_tick, [this] { m_is_deposed = true; });
  UpdateAgents();
  if (m_is_stopping) m_term->HandOver("");
  m_ports.request_tick();
}

void CellInstance::EndTerm(std::string_view reason) {
  m_is_deposed = false;
  if (m_term == nullptr) return;
  m_ports.events.Emit("term.ended",
                      {{"epoch", std::to_string(m_term->journal().epoch())}, {"reason", std::string(reason)}});
  const bool is_handed_over = m_term->journal().is_handed_over();
  m_term->Retire();
  m_ended_terms.emplace_back(m_now, std::move(m_term));
  m_leadership.OnDeposed(m_now);
  m_relay.SetLeader(false, "", 0, m_now);
  if (!is_handed_over || m_successor.empty()) return;
  m_ports.send_peer(m_successor, PeerMessage(kBeatPath, EncodeBeat({})), m_now + kBeatTime, [](const PeerResult&) {});
}

void CellInstance::OnClientRequest(HttpRequest request, std::function<void(HttpResponse)> done) {
  const std::int64_t told_ms = m_ports.codec.ClientTimeoutMs(request);
  const std::int64_t patience_ms = told_ms > 0 ? told_ms : kDefaultPatienceMs;
  const std::int64_t margin_ms = std::min(kAnswerMarginMs, patience_ms / kMarginPart);
  const Time deadline = m_now + std::chrono::milliseconds(std::max<std::int64_t>(1, patience_ms - margin_ms));
  // Unique over instances and restarts, as no two processes with one address start in the same microsecond.
  request.headers.emplace_back(
      kCallIdHeader, m_address + "-" + std::to_string(ToMicros(m_started_at)) + "-" + std::to_string(++m_call_count));
  m_relay.OnCall(std::move(request), m_now, deadline, std::move(done));
}

void CellInstance::SendToLeader(const std::string& address, const HttpRequest& request, Time deadline,
                                const std::function<void(Relay::Attempt)>& done) {
  if (address.empty()) {
    return AnswerClient(request, [done](HttpResponse response, bool is_undecided) {
      done({true, true, is_undecided, std::move(response)});
    });
  }
  HttpRequest relayed = request;
  std::erase_if(relayed.headers, [](const auto& header) { return header.first == "Connection"; });
  m_ports.send_peer(address, std::move(relayed), deadline, [done](PeerResult result) {
    const bool is_undecided = result.is_answered && !FindHeader(result.response.headers, kUndecidedHeader).empty();
    done({result.is_answered, result.was_sent, is_undecided, std::move(result.response)});
  });
}

void CellInstance::AnswerClient(const HttpRequest& request,
                                const std::function<void(HttpResponse, bool is_undecided)>& done) {
  if (m_term == nullptr) return done(m_ports.codec.EncodeFailure(false), true);
  ClientCall call = m_ports.codec.Decode(request);
  call.call_id = std::string(FindHeader(request.headers, kCallIdHeader));
  m_term->OnClientCall(call, [this, call, done](const ClientReply& reply) {
    done(m_ports.codec.Encode(call, reply), reply.outcome == ClientOutcome::kNotLeader);
  });
}

void CellInstance::OnPeerRequest(const HttpRequest& request, const std::function<void(HttpResponse)>& done) {
  if (!FindHeader(request.headers, kCallIdHeader).empty()) {
    return AnswerClient(request, [done](HttpResponse response, bool is_undecided) {
      if (is_undecided) response.headers.emplace_back(kUndecidedHeader, "1");
      done(std::move(response));
    });
  }
  if (request.target == kBeatPath) {
    const std::optional<Beat> beat = DecodeBeat(request.body);
    if (beat && beat->record.address.empty()) {
      m_leadership.RequestRead();
      m_ports.request_tick();
    } else if (beat) {
      OnBeat(*beat);
    }
    return done({kStatusNoContent, {}, ""});
  }
  if (request.target == kHelloPath) {
    const std::optional<Hello> follower = DecodeHello(request.body);
    if (m_term == nullptr || !follower) return done({kStatusConflict, {}, ""});
    Follower& entry = m_followers[follower->address];
    entry.cpu_millis = follower->cpu_millis;
    if (entry.joined_at == Time{}) entry.joined_at = m_now;
    entry.heard_at = m_now;
    UpdateAgents();
    return done({kStatusOk, {}, EncodeBeat(OwnBeat())});
  }
  if (request.target == kAdvisePath) {
    const std::optional<PolicyRequest> question = DecodeQuestion(request.body);
    if (!question) return done({kStatusBadRequest, {}, ""});
    return m_ports.policy.RequestTickets("", *question, [done](const PolicyReply& answer) {
      done({answer.is_answered ? kStatusOk : kStatusUnavailable, {}, EncodeAnswer(answer)});
    });
  }
  done({kStatusNotFound, {}, ""});
}

void CellInstance::RequestTickets(const std::string& agent, const PolicyRequest& question,
                                  std::function<void(PolicyReply)> done) {
  if (agent.empty()) return m_ports.policy.RequestTickets("", question, std::move(done));
  const Time deadline = m_now + std::chrono::milliseconds(question.expected_ms + kPolicyMarginMs);
  m_ports.send_peer(agent, PeerMessage(kAdvisePath, EncodeQuestion(question)), deadline,
                    [done = std::move(done)](const PeerResult& result) {
                      const bool is_ok = result.is_answered && result.response.status == kStatusOk;
                      done(is_ok ? DecodeAnswer(result.response.body).value_or(PolicyReply{}) : PolicyReply{});
                    });
}

void CellInstance::SendBeats() {
  m_next_beat = m_now + std::max(kBeatPause, kBeatPausePerFollower * static_cast<std::int64_t>(m_followers.size()));
  const std::string body = EncodeBeat(OwnBeat());
  const auto silent = std::erase_if(
      m_followers, [this](const auto& entry) { return m_now - entry.second.heard_at > kFollowerSilence; });
  if (silent > 0) UpdateAgents();
  for (auto& [address, follower] : m_followers) {
    if (follower.is_beat_open) continue;
    follower.is_beat_open = true;
    m_ports.send_peer(address, PeerMessage(kBeatPath, body), m_now + kBeatTime,
                      [this, address = address](const PeerResult& result) {
                        const auto found = m_followers.find(address);
                        if (found == m_followers.end()) return;
                        found->second.is_beat_open = false;
                        if (result.is_answered) found->second.heard_at = m_now;
                      });
  }
}

void CellInstance::SendHello() {
  m_next_hello = m_now + kHelloPause;
  m_ports.send_peer(m_leadership.leader_address(), PeerMessage(kHelloPath, EncodeHello({m_address, m_cpu_millis})),
                    m_now + kBeatTime, [this](const PeerResult& result) {
                      if (!result.was_sent) m_leadership.OnLeaderConnectionRefused(m_now);
                      if (!result.is_answered || result.response.status != kStatusOk) return;
                      if (const std::optional<Beat> beat = DecodeBeat(result.response.body)) OnBeat(*beat);
                    });
}

Beat CellInstance::OwnBeat() const {
  return {m_term->journal().committed_record(), m_term->journal().committed_version()};
}

void CellInstance::OnBeat(const Beat& beat) {
  if (m_term != nullptr || beat.record.epoch < m_leadership.leader_epoch()) return;
  const Duration gap = std::min(m_now - m_leader_heard_at, kMaxBeatGap);
  m_leader_lost_at = m_now + std::max(kLeaderSilence, gap * kBeatsOfSilence);
  m_leader_heard_at = m_now;
  if (beat.version != m_leader_version) m_leader_wrote_at = m_now;
  m_leader_version = beat.version;
  m_leadership.OnLeaderProgress(beat.record, beat.version, m_now);
}

void CellInstance::UpdateAgents() {
  if (m_term == nullptr) return;
  std::vector<std::string> agents = {""};
  for (const auto& [address, follower] : m_followers) agents.push_back(address);
  m_term->SetPolicyCallers(agents);
}

void CellInstance::BeginStop() {
  if (m_is_stopping) return;
  m_is_stopping = true;
  m_leadership.Retire();
  m_ports.events.Emit("instance.stopping", {{"open_calls", std::to_string(m_relay.open_calls())}});
  if (m_term == nullptr) return;
  m_successor = ChooseSuccessor();
  m_term->HandOver(m_successor);
  m_ports.request_tick();
}

std::string CellInstance::ChooseSuccessor() const {
  // The follower that joined last is the least likely to be restarted next in a rolling restart.
  std::string best;
  std::pair<std::int64_t, Time> best_key{};
  for (const auto& [address, follower] : m_followers) {
    const std::pair<std::int64_t, Time> key{follower.cpu_millis, follower.joined_at};
    if (!best.empty() && key < best_key) continue;
    best_key = key;
    best = address;
  }
  return best;
}

void CellInstance::YieldToStronger() {
  if (!m_successor.empty() || m_is_stopping || m_now - m_term_began_at < kYieldAfter) return;
  const std::string successor = ChooseSuccessor();
  if (successor.empty() || m_followers[successor].cpu_millis < kStrongerFactor * m_cpu_millis) return;
  m_successor = successor;
  m_term->HandOver(successor);
}

bool CellInstance::is_ready() const {
  if (m_is_stopping) return false;
  // A leader that is cut off from the store may be cut off together with some followers.
  if (m_term != nullptr) return !m_term->journal().IsStalled(m_now, kReadyStall);
  return m_now - m_leader_heard_at < kReadySilence && m_now - m_leader_wrote_at < kReadyStall;
}

std::map<std::string, double> CellInstance::Gauges() const {
  const auto seconds = [this](Time since) { return std::chrono::duration<double>(m_now - since).count(); };
  std::map<std::string, double> gauges = {
      {"jaymast_leader", m_term != nullptr ? 1 : 0},
      {"jaymast_ready", is_ready() ? 1 : 0},
      {"jaymast_epoch", static_cast<double>(m_leadership.leader_epoch())},
      {"jaymast_open_calls", static_cast<double>(m_relay.open_calls())},
  };
  if (m_term == nullptr) {
    if (m_leader_heard_at != Time{}) gauges["jaymast_leader_silence_seconds"] = seconds(m_leader_heard_at);
    return gauges;
  }
  const Scheduler& scheduler = m_term->scheduler();
  gauges["jaymast_unconfirmed_seconds"] = seconds(m_term->journal().confirmed_at());
  gauges["jaymast_active_jobs"] = static_cast<double>(scheduler.active_jobs());
  gauges["jaymast_known_jobs"] = static_cast<double>(scheduler.known_jobs());
  gauges["jaymast_uncommitted_jobs"] = static_cast<double>(scheduler.uncommitted_jobs());
  gauges["jaymast_record_rows"] = static_cast<double>(scheduler.record_rows());
  gauges["jaymast_upstreams"] = static_cast<double>(scheduler.upstreams());
  gauges["jaymast_usable_upstreams"] = static_cast<double>(scheduler.CountUsableUpstreams());
  gauges["jaymast_unacknowledged_ends"] = static_cast<double>(scheduler.CountUnacknowledgedEnds());
  gauges["jaymast_followers"] = static_cast<double>(m_followers.size());
  return gauges;
}

bool CellInstance::can_exit() const { return m_is_stopping && m_term == nullptr; }

}  // namespace jaymast
