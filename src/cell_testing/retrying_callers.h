#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cell_testing/simulated_cluster.h"

namespace jaymast {

/// Callers that arrive at a rate that does not depend on the answers, and repeat calls that were refused or lost.
///
/// Each caller submits a job or asks for the state of an accepted one. It calls a random instance, states the time that
/// it has left, and gives up when that has passed or all retries were used.
class RetryingCallers {
 public:
  static constexpr Duration kTimeLimit{3'000'000};
  static constexpr int kMaxRetries = 4;

  struct Caller {
    std::string method;
    std::string job;
    Time arrived_at{};
    int attempts = 0;
    bool is_waiting = false;  ///< for an answer
    bool is_ended = false;
    bool is_served = false;  ///< accepted, or got the state, within the time limit
  };

  RetryingCallers(SimulatedCluster& cluster, std::uint32_t seed) : m_cluster(cluster), m_random(seed) {
    m_cluster.on_response = [this](const SimulatedCluster::ClientExchange& exchange) { OnResponse(exchange); };
  }

  /// Callers arrive at this rate from now on, 0 for none.
  void SetRate(double per_second) {
    m_rate = per_second;
    ++m_rate_number;
    if (m_rate > 0) ScheduleNext();
  }

  /// A caller asks for the state of this job.
  void Read(const std::string& job) { Arrive("GET", job); }

  /// Number of callers that arrived in [from, to).
  std::size_t CountArrived(Time from, Time to) const {
    return Count(from, to, [](const Caller&) { return true; });
  }
  /// Number of these that were served.
  std::size_t CountServed(Time from, Time to) const {
    return Count(from, to, [](const Caller& caller) { return caller.is_served; });
  }
  std::size_t CountAttempts(Time from, Time to) const {
    std::size_t attempts = 0;
    for (const Caller& caller : m_callers) {
      if (caller.arrived_at >= from && caller.arrived_at < to) attempts += static_cast<std::size_t>(caller.attempts);
    }
    return attempts;
  }
  const std::vector<std::string>& accepted_jobs() const { return m_accepted_jobs; }

  std::string payload = "tasks=1 cpu=100 ms=200";
  std::map<int, int> failures;  ///< attempts that did not serve the caller, by the status of their response

 private:
  static constexpr double kReadShare = 0.2;
  static constexpr Duration kDefaultRetryAfter{1'000'000};

  template <typename Predicate>
  std::size_t Count(Time from, Time to, Predicate predicate) const {
    return static_cast<std::size_t>(std::count_if(m_callers.begin(), m_callers.end(), [&](const Caller& caller) {
      return caller.arrived_at >= from && caller.arrived_at < to && predicate(caller);
    }));
  }

  void ScheduleNext() {
    const double seconds = std::exponential_distribution<>(m_rate)(m_random);
    m_cluster.queue.After(Duration(std::llround(1e6 * seconds)), [this, number = m_rate_number] {
      if (number != m_rate_number) return;
      ArriveAny();
      ScheduleNext();
    });
  }

  void ArriveAny() {
    const bool reads = !m_accepted_jobs.empty() && std::bernoulli_distribution(kReadShare)(m_random);
    if (reads) {
      const std::string& job = m_accepted_jobs[m_random() % m_accepted_jobs.size()];
      if (!m_open.contains("GET " + job)) return Arrive("GET", job);
    }
    Arrive("POST", "job" + std::to_string(++m_submitted));
  }

  void Arrive(const std::string& method, const std::string& job) {
    const std::size_t index = m_callers.size();
    m_callers.push_back({method, job, m_cluster.queue.now()});
    m_open[method + " " + job] = index;
    m_cluster.queue.After(kTimeLimit, [this, index] { End(index); });
    Send(index);
  }

  void Send(std::size_t index) {
    Caller& caller = m_callers[index];
    if (caller.is_ended) return;
    ++caller.attempts;
    caller.is_waiting = true;
    const std::int64_t left_ms = ToMillis(caller.arrived_at + kTimeLimit - m_cluster.queue.now());
    const int instance = static_cast<int>(m_random() % m_cluster.instances.size());
    m_cluster.Call(instance, caller.method, caller.job, caller.method == "POST" ? payload : "", "key",
                   std::max<std::int64_t>(1, left_ms));
  }

  void OnResponse(const SimulatedCluster::ClientExchange& exchange) {
    const auto found = m_open.find(exchange.method + " " + exchange.job);
    if (found == m_open.end()) return;
    const std::size_t index = found->second;
    Caller& caller = m_callers[index];
    if (!caller.is_waiting) return;
    caller.is_waiting = false;
    const int status = exchange.response.status;
    const bool is_submission = caller.method == "POST";
    if (status == static_cast<int>(is_submission ? ClientOutcome::kAccepted : ClientOutcome::kState)) {
      caller.is_served = true;
      if (is_submission) m_accepted_jobs.push_back(caller.job);
      return End(index);
    }
    ++failures[status];
    if (caller.attempts > kMaxRetries) return End(index);
    const bool is_refusal = status == static_cast<int>(ClientOutcome::kOverloaded) ||
                            status == static_cast<int>(ClientOutcome::kUnavailable) ||
                            status == FakeClientCodec::kNotRun;
    if (!is_refusal && status != FakeClientCodec::kMayHaveRun) return End(index);
    m_cluster.queue.After(is_refusal ? RetryAfter(exchange.response) : Duration(1), [this, index] { Send(index); });
  }

  static Duration RetryAfter(const HttpResponse& response) {
    const std::string text(FindHeader(response.headers, "Retry-After"));
    return text.empty() ? kDefaultRetryAfter : Duration(std::chrono::seconds(std::stoll(text)));
  }

  void End(std::size_t index) {
    Caller& caller = m_callers[index];
    if (std::exchange(caller.is_ended, true)) return;
    m_open.erase(caller.method + " " + caller.job);
  }

  SimulatedCluster& m_cluster;
  std::mt19937 m_random;
  double m_rate = 0;
  std::uint64_t m_rate_number = 0;  ///< arrivals at an earlier rate are void
  std::uint64_t m_submitted = 0;
  std::vector<Caller> m_callers;
  std::map<std::string, std::size_t> m_open;  ///< by the method and the job
  std::vector<std::string> m_accepted_jobs;
};

}  // namespace jaymast
