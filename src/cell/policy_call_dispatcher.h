#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "cell/policy_client.h"

namespace jaymast {

/// Distributes calls to the policy service over the instances, as the service takes one call at a time from each.
///
/// Calls are not queued: while all instances are busy, TryCall() fails and the scheduler retries in order of urgency.
/// Some instances are reserved for short calls, so that a preview does not wait behind a long call.
///
/// The service goes on with a call that was given up and takes the next one of the instance only after it. So an
/// instance makes no further call while one is overdue, and after a call without a reply it makes one at a time, with a
/// timeout that doubles until there is a reply.
class PolicyCallDispatcher {
 public:
  explicit PolicyCallDispatcher(PolicyClient& client) : m_client(client) {}

  /// Sets the current time until the next call.
  void SetNow(Time now) { m_now = now; }

  /// Replaces the instances that make calls, given by peer address. The empty address stands for this instance.
  void SetPolicyCallers(const std::vector<std::string>& addresses);

  /// What a call is for.
  enum class Purpose {
    kStart,     ///< tasks can start with the tickets
    kPrefetch,  ///< nothing can start yet; leaves some instances free for calls of the other kind
  };

  /// Whether TryCall() would make a call that takes `expected_ms`.
  bool CanCall(std::int64_t expected_ms, Purpose purpose = Purpose::kStart) const;

  /// Makes a call if an instance is free for it.
  /// @return whether the call was made; only then is `done` called
  bool TryCall(PolicyRequest request, Purpose purpose, std::function<void(const PolicyReply&)> done);

  std::size_t CountOpenCalls() const;
  /// Instances that may make long calls at a time.
  std::size_t CountLongCallers() const { return MaxLongCalls(); }
  /// Instances that make no calls for a while, as one got no reply.
  std::size_t CountBlockedCallers() const;

  /// Calls up to this length count as short.
  static constexpr std::int64_t kMaxShortCallMs = 60;

 private:
  struct Caller {
    bool is_listed = false;
    int open_short_calls = 0;
    int open_long_calls = 0;
    Time overdue_at{};         ///< when the open calls should have been answered
    Time blocked_until{};      ///< set after a call without a reply
    int unanswered_calls = 0;  ///< since the last reply
  };

  /// Address of the instance that should make the call, or nothing if all are busy.
  std::optional<std::string> FindCaller(std::int64_t expected_ms, Purpose purpose) const;
  std::size_t MaxLongCalls() const;
  void OnReply(const std::string& address, bool is_short, Time expected_at, const PolicyReply& reply);

  PolicyClient& m_client;
  Time m_now;
  std::map<std::string, Caller> m_callers;  ///< by peer address; includes former ones with open calls
  std::size_t m_open_long_calls = 0;
  Duration m_lateness{};  ///< running mean of the time by which replies were late
};

}  // namespace jaymast
