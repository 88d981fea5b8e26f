#include "instance/relay.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace jaymast {
namespace {

constexpr Duration kRetryDelay{80'000};
/// An attempt without a response is repeated on another connection, as a broken connection may never report an error.
constexpr Duration kAttemptTimeout{1'300'000};
/// The last attempt of a call ends this long before the call, so that its result tells whether the call was sent. If
/// both ended at the same time, calls that were never sent were reported as possibly run.
constexpr Duration kOutcomeMargin{40'000};
constexpr std::int64_t kOutcomeMarginDivisor = 4;  ///< the margin is at most the time left divided by this
/// Without a leader for this time, this instance is partitioned and refuses calls at once. A takeover takes 0.4 to
/// 0.9 s, and the old leader counts as known for another 0.5 s.
constexpr Duration kNoLeaderTimeout{1'300'000};
/// A call waits this long until fewer are open at the leader. Its caller can still return in time after a refusal.
constexpr Duration kMaxRoomWait{250'000};
/// One in this many waiting calls that are sent is the oldest one that may have run.
constexpr std::uint64_t kOpenOutcomeShare = 4;
/// A call that no recent answer was fast enough for is sent after this time without an answer.
constexpr Duration kProbeInterval{200'000};

CallKind KindOf(const HttpRequest& request) { return request.method == "GET" ? CallKind::kRead : CallKind::kWrite; }

}  // namespace

void Relay::OnCall(HttpRequest request, Time now, Time deadline, std::function<void(HttpResponse)> done) {
  m_now = now;
  auto call = std::make_shared<Call>();
  call->number = ++m_call_count;
  call->request = std::move(request);
  call->done = std::move(done);
  call->received_at = now;
  call->deadline = std::min(deadline, m_latest_deadline);
  m_calls.emplace(call->number, call);
  if (now >= call->deadline || CannotBeAnsweredInTime(*call)) return FailCall(call);
  if (m_is_leader_known) return SendOrWait(call, now);
  if (now - m_leader_known_at > kNoLeaderTimeout) FailCall(call);
}

void Relay::SetLeader(bool is_known, const std::string& address, std::uint64_t epoch, Time now) {
  m_now = now;
  if (is_known) m_leader_known_at = now;
  if (is_known == m_is_leader_known && address == m_leader_address && epoch == m_leader_epoch) return;
  if (address != m_leader_address || epoch != m_leader_epoch) m_window.OnNewLeader();
  m_is_leader_known = is_known;
  m_leader_address = address;
  m_leader_epoch = epoch;
  m_waiting.clear();
  if (!is_known) return;
  const std::map<std::uint64_t, CallPtr> calls = m_calls;
  for (const auto& [number, call] : calls) SendOrWait(call, now);
}

void Relay::SendOrWait(const CallPtr& call, Time now) {
  if (call->is_done) return;
  if (HasRoom(*call)) return SendAttempt(call, now);
  call->room_deadline = now + kMaxRoomWait;
  m_waiting.insert(call->number);
}

void Relay::SendWaiting(Time now) {
  while (m_is_leader_known && !m_waiting.empty() && m_window.HasRoom()) {
    const std::uint64_t number = ChooseWaiting();
    m_waiting.erase(number);
    SendAttempt(m_calls.at(number), now);
  }
}

std::uint64_t Relay::ChooseWaiting() {
  // A call that may have run can't be refused, so some of these are asked about before others arrive.
  if (++m_sent_waiting % kOpenOutcomeShare == 0) {
    const auto is_open = [this](std::uint64_t number) { return MayHaveRun(*m_calls.at(number)); };
    const auto oldest = std::find_if(m_waiting.begin(), m_waiting.end(), is_open);
    if (oldest != m_waiting.end()) return *oldest;
  }
  // The latest call has the most time left, and an overload ends with its first answers.
  return *m_waiting.rbegin();
}

bool Relay::HasRoom(const Call& call) const {
  // A cancellation frees capacity, and its caller needs the acknowledgement.
  return m_leader_address.empty() || call.request.method == "DELETE" || m_window.HasRoom();
}

void Relay::SendAttempt(const CallPtr& call, Time now) {
  if (call->is_done) return;
  call->is_attempt_pending = true;
  const Duration time_left = std::max(Duration::zero(), call->deadline - now);
  const Duration margin = std::min(kOutcomeMargin, time_left / kOutcomeMarginDivisor);
  const Time attempt_deadline = std::min(call->deadline - margin, now + kAttemptTimeout);
  const std::uint64_t attempt = ++call->attempt;
  ++call->unresolved_attempts;
  const bool is_remote = !m_leader_address.empty();
  if (is_remote) m_window.OnSent(now);
  m_ports.send(m_leader_address, call->request, {attempt_deadline, call->deadline},
               [this, call, attempt, sent_at = now, is_remote, epoch = m_leader_epoch](Attempt result) {
                 const bool is_counted = is_remote && epoch == m_leader_epoch;
                 if (is_counted) m_window.OnEnded(sent_at, result.delay, m_now);
                 OnResult(call, attempt, sent_at, std::move(result));
                 if (is_counted) SendWaiting(m_now);
               });
}

void Relay::OnResult(const CallPtr& call, std::uint64_t attempt, Time sent_at, Attempt result) {
  if (call->is_done) return;
  --call->unresolved_attempts;
  if (result.was_sent && !result.is_undecided) call->may_have_run = true;
  // Only the latest attempt decides: an earlier leader may refuse what the new one accepts.
  if (attempt != call->attempt) return;
  if (result.is_answered && !result.is_undecided) {
    m_response_times.Add(KindOf(call->request), m_now - sent_at, m_now);
    m_next_probe_at = m_now + kProbeInterval;
    return Finish(call, std::move(result.response));
  }
  call->is_attempt_pending = false;
  call->next_attempt = m_now + kRetryDelay;
}

void Relay::SetLatestDeadline(Time deadline) {
  m_latest_deadline = deadline;
  for (const auto& [number, call] : m_calls) call->deadline = std::min(call->deadline, deadline);
}

void Relay::OnTick(Time now) {
  m_now = now;
  const std::map<std::uint64_t, CallPtr> calls = m_calls;
  for (const auto& [number, call] : calls) {
    // The next leader can still tell what became of a call that may have run, and its client could not repeat it.
    const bool is_leader_missing =
        !m_is_leader_known && now - m_leader_known_at > kNoLeaderTimeout && !MayHaveRun(*call);
    const bool is_waiting = m_waiting.contains(number);
    const bool waits_too_long = is_waiting && now >= call->room_deadline && !MayHaveRun(*call);
    if (now >= call->deadline || is_leader_missing || waits_too_long) {
      FailCall(call);
    } else if (!is_waiting && !call->is_attempt_pending && m_is_leader_known && now >= call->next_attempt) {
      SendOrWait(call, now);
    }
  }
  SendWaiting(now);
}

bool Relay::CannotBeAnsweredInTime(const Call& call) {
  const std::optional<Duration> fastest = m_response_times.Fastest(KindOf(call.request), m_now);
  if (!fastest || call.deadline - m_now >= *fastest) return false;
  // Refused calls would never show that the leader has become faster.
  if (m_now < m_next_probe_at) return true;
  m_next_probe_at = m_now + kProbeInterval;
  return false;
}

bool Relay::MayHaveRun(const Call& call) {
  // An attempt without a result may have been received, possibly by an earlier leader.
  return call.may_have_run || call.unresolved_attempts > 0;
}

void Relay::FailCall(const CallPtr& call) {
  Finish(call, m_ports.encode_failure(call->request, m_now - call->received_at, MayHaveRun(*call)));
}

void Relay::Finish(const CallPtr& call, HttpResponse response) {
  if (call->is_done) return;
  call->is_done = true;
  m_calls.erase(call->number);
  m_waiting.erase(call->number);
  call->done(std::move(response));
}

}  // namespace jaymast
