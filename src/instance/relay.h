#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/time.h"
#include "instance/call_window.h"
#include "instance/response_times.h"
#include "net/http_message.h"

namespace jaymast {

/// Forwards client calls to the leader and retries them across leader changes.
///
/// Calls beyond what the leader handles without delay wait for a short time, the latest first, and are refused as not
/// run after it. Retries are safe because submissions, cancellations and reads are idempotent by job id.
class Relay {
 public:
  /// Result of sending a call to the leader once.
  struct Attempt {
    bool is_answered = false;
    bool was_sent = true;       ///< the leader may have received the call
    bool is_undecided = false;  ///< the receiver is not the leader, or can't confirm that it is
    HttpResponse response;
    std::optional<Duration> delay = std::nullopt;  ///< until the leader handled the call, if it tells
  };
  struct Deadlines {
    Time attempt;  ///< `done` is called by then
    Time call;     ///< a response is of use until then, also the one to another attempt
  };
  struct Ports {
    /// Sends a call to the leader; an empty address stands for this instance.
    std::function<void(const std::string& address, const HttpRequest&, const Deadlines&,
                       std::function<void(Attempt)> done)>
        send;
    /// Response to a call that got no result within `waited`.
    std::function<HttpResponse(const HttpRequest&, Duration waited, bool may_have_run)> encode_failure;
  };

  /// @param started_at calls are held from then on although no leader has been known yet
  explicit Relay(Ports ports, Time started_at = {}) : m_ports(std::move(ports)), m_leader_known_at(started_at) {}

  /// Accepts a call. `done` is called once, no later than the first tick after the deadline.
  void OnCall(HttpRequest request, Time now, Time deadline, std::function<void(HttpResponse)> done);

  /// Sets the current leader. All open calls are sent again to a new leader.
  /// @param is_known false while no leader is known that is reachable and can handle calls
  /// @param address empty if this instance leads
  void SetLeader(bool is_known, const std::string& address, std::uint64_t epoch, Time now);

  /// All calls get their response by this time, also those that arrive later.
  void SetLatestDeadline(Time deadline);

  /// Sets the time at which responses that follow arrive.
  void SetNow(Time now) { m_now = now; }
  void OnTick(Time now);

  std::size_t open_calls() const { return m_calls.size(); }
  /// Calls that wait until fewer are open at the leader.
  std::size_t waiting_calls() const { return m_waiting.size(); }
  const CallWindow& window() const { return m_window; }

 private:
  struct Call {
    std::uint64_t number = 0;
    HttpRequest request;
    std::function<void(HttpResponse)> done;
    Time received_at{};
    Time deadline{};
    Time next_attempt{};
    Time room_deadline{};  ///< a waiting call that has certainly not run is refused then
    std::uint64_t attempt = 0;
    bool is_attempt_pending = false;  ///< the last attempt has no result yet
    int unresolved_attempts = 0;      ///< all attempts without a result yet
    bool may_have_run = false;
    bool is_done = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  /// Sends the call to the leader, or lets it wait if too many are open there.
  void SendOrWait(const CallPtr& call, Time now);
  void SendWaiting(Time now);
  std::uint64_t ChooseWaiting();
  bool HasRoom(const Call& call) const;
  void SendAttempt(const CallPtr& call, Time now);
  void OnResult(const CallPtr& call, std::uint64_t attempt, Time sent_at, Attempt result);
  /// Whether no recent call was answered within the time that this one has left.
  bool CannotBeAnsweredInTime(const Call& call);
  static bool MayHaveRun(const Call& call);
  void FailCall(const CallPtr& call);
  void Finish(const CallPtr& call, HttpResponse response);

  Ports m_ports;
  std::map<std::uint64_t, CallPtr> m_calls;  ///< by number, in the order of arrival
  std::set<std::uint64_t> m_waiting;         ///< numbers of calls that wait until fewer are open at the leader
  std::uint64_t m_call_count = 0;
  CallWindow m_window;               ///< of the present leader
  Time m_next_probe_at{};            ///< when a call is sent although recent answers took longer than it has
  std::uint64_t m_sent_waiting = 0;  ///< calls that were sent after they had waited
  ResponseTimes m_response_times;
  bool m_is_leader_known = false;
  std::string m_leader_address;
  std::uint64_t m_leader_epoch = 0;
  Time m_now{};
  Time m_leader_known_at;
  Time m_latest_deadline = Time::max();
};

}  // namespace jaymast
