#pragma once

#include <algorithm>
#include <chrono>

#include "base/time.h"

namespace jaymast {

/// Limits retries to a fraction of the requests, so that retries do not amplify an overload.
class RetryBudget {
 public:
  explicit RetryBudget(Time now) : m_refilled_at(now) {}

  /// Counts a first attempt.
  void OnRequest() { m_tokens = std::min(kMaxTokens, m_tokens + kRetryRatio); }

  /// Takes one retry.
  /// @return false when the budget is exhausted
  bool TryRetry(Time now) {
    const double elapsed_s = std::chrono::duration<double>(now - m_refilled_at).count();
    m_tokens = std::min(kMaxTokens, m_tokens + elapsed_s * kMinRetriesPerSecond);
    m_refilled_at = now;
    if (m_tokens < 1.0) return false;
    m_tokens -= 1.0;
    return true;
  }

 private:
  static constexpr double kRetryRatio = 0.1;
  static constexpr double kMinRetriesPerSecond = 10.0;
  static constexpr double kMaxTokens = 100.0;

  double m_tokens = kMinRetriesPerSecond;
  Time m_refilled_at;
};

}  // namespace jaymast
