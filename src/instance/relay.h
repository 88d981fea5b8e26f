#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/time.h"
#include "instance/response_times.h"
#include "net/http_message.h"

namespace jaymast {

/// Forwards client calls to the leader and retries them across leader changes.
///
/// Retries are safe because submissions, cancellations and reads are idempotent by job id.
class Relay {
 public:
  /// Result of sending a call to the leader once.
  struct Attempt {
    bool is_answered = false;
    bool was_sent = true;       ///< the leader may have received the call
    bool is_undecided = false;  ///< the receiver is not the leader, or can't confirm that it is
    HttpResponse response;
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

 private:
  struct Call {
    HttpRequest request;
    std::function<void(HttpResponse)> done;
    Time received_at{};
    Time deadline{};
    Time next_attempt{};
    std::uint64_t attempt = 0;
    bool is_attempt_pending = false;  ///< the last attempt has no result yet
    int unresolved_attempts = 0;      ///< all attempts without a result yet
    bool may_have_run = false;
    bool is_done = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  void SendAttempt(const CallPtr& call, Time now);
  /// Whether no recent call was answered within the time that this one has left.
  bool CannotBeAnsweredInTime(const Call& call);
  static bool MayHaveRun(const Call& call);
  void FailCall(const CallPtr& call);
  void Finish(const CallPtr& call, HttpResponse response);

  Ports m_ports;
  std::set<CallPtr> m_calls;
  ResponseTimes m_response_times;
  bool m_is_leader_known = false;
  std::string m_leader_address;
  std::uint64_t m_leader_epoch = 0;
  Time m_now{};
  Time m_leader_known_at;
  Time m_latest_deadline = Time::max();
};

}  // namespace jaymast
