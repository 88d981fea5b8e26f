#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/time.h"
#include "net/http_message.h"

namespace jaymast {

/// Passes calls of clients to the leader, also across a change of the leader.
///
/// Submissions, cancellations and reads may be repeated: the leader knows a job by its id.
class Relay {
 public:
  /// Result of one attempt at the leader.
  struct Attempt {
    bool is_answered = false;
    bool was_sent = true;       ///< the call may have been received
    bool is_undecided = false;  ///< the instance asked is not the leader, or is not sure
    HttpResponse response;
  };
  struct Ports {
    /// Sends a call to the leader; an empty address stands for this instance.
    std::function<void(const std::string& address, const HttpRequest&, Time deadline,
                       std::function<void(Attempt)> done)>
        send;
    /// Answer for a call without a result after the time that it has waited.
    std::function<HttpResponse(const HttpRequest&, Duration waited, bool may_have_run)> encode_failure;
  };

  explicit Relay(Ports ports) : m_ports(std::move(ports)) {}

  /// Takes a call. `done` is called once, at the deadline at the latest.
  void OnCall(HttpRequest request, Time now, Time deadline, std::function<void(HttpResponse)> done);

  /// Tells who leads. All open calls are sent again to a new leader.
  /// @param is_known false while nobody is known to lead
  void SetLeader(bool is_known, const std::string& address, std::uint64_t epoch, Time now);

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
    bool is_attempt_pending = false;  ///< an attempt waits for its answer
    int unresolved_attempts = 0;      ///< attempts that were sent and have no result yet
    bool may_have_run = false;
    bool is_done = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  void SendAttempt(const CallPtr& call, Time now);
  void FailCall(const CallPtr& call);
  void Finish(const CallPtr& call, HttpResponse response);

  Ports m_ports;
  std::set<CallPtr> m_calls;
  bool m_is_leader_known = false;
  std::string m_leader_address;
  std::uint64_t m_leader_epoch = 0;
  Time m_now{};
  Time m_leader_known_at{};
};

}  // namespace jaymast
