#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>

#include "cell_testing/fake_site.h"

namespace jaymast {

/// Jobs of three kinds whose queues use the policy service, at a rate that takes about 70% of 48 upstreams: wide gangs
/// with slow policy calls, batches of small tasks, and previews.
class PolicyWorkload {
 public:
  static constexpr int kUpstreams = 48;
  static constexpr std::int64_t kUpstreamCpuMillis = 32'000;
  static constexpr std::int64_t kUpstreamMemoryMb = 128'000;
  static constexpr int kTeams = 6;

  PolicyWorkload(FakeSite& site, unsigned seed) : m_site(site), m_random(seed) {
    AddQueue("gangs", 1, 2.2, {450, 6.5, 2500});
    AddQueue("batch", 2, 4.0, {82, 1.2, 2500});
    AddQueue("previews", 0, 1.5, {12, 0.17, 2500});
    for (int i = 0; i < kTeams; ++i) {
      const TeamId team("team" + std::to_string(i));
      site.config->teams[team] = TeamConfig{team, 10, TeamLimit()};
      site.config->team_of_key["key" + std::to_string(i)] = team;
    }
    for (const auto& upstream : site.fake_upstreams) upstream->listing().capacity.memory_mb = kUpstreamMemoryMb;
    site.policy_service.allowed_share = 0.4;
    site.policy_service.ticket_ms = 2500;
    site.run_fails = [this] { return Chance(0.03); };
  }

  /// A job to be submitted.
  struct Arrival {
    std::string queue;
    std::string job;
    std::string payload;
    std::string key;
  };

  /// @param rate multiple of the regular rate of arrivals
  Duration TimeToNextArrival(double rate = 1.0) {
    const double seconds = std::exponential_distribution<>(kJobsPerSecond * rate)(m_random);
    return Duration(static_cast<std::int64_t>(1e6 * seconds));
  }

  Arrival NextArrival() {
    const double kind = std::uniform_real_distribution<>(0, 1)(m_random);
    Arrival arrival;
    arrival.job = fmt::format("{:016x}", ++m_count);
    std::string& body = arrival.payload;
    const auto add = [&body](const char* name, std::int64_t value) {
      body += std::string(body.empty() ? "" : " ") + name + "=" + std::to_string(value);
    };
    std::int64_t run_ms = 0;
    double estimate_spread = 0.5;
    if (kind < kShareOfGangs) {
      arrival.queue = "gangs";
      run_ms = Figure(6200, 0.5, 200, 16'000);
      estimate_spread = 0.2;
      add("steps", Figure(1.2, 0.4, 1, 3));
      add("tasks", Figure(5.1, 0.6, 1, 26));
      add("cpu", Figure(9000, 0.4, 500, 15'000));
      add("mem", Figure(34'000, 0.5, 1000, 68'000));
      body += " gang";
    } else if (kind < kShareOfGangs + kShareOfBatches) {
      arrival.queue = "batch";
      run_ms = Figure(3400, 0.5, 200, 8400);
      add("steps", Figure(1.5, 0.4, 1, 3));
      add("tasks", Figure(10, 0.8, 1, 60));
      add("cpu", Figure(1800, 0.45, 200, 5400));
      add("mem", Figure(6600, 0.6, 500, 20'000));
      if (Chance(0.12)) add("apart", 2);
    } else {
      arrival.queue = "previews";
      run_ms = Figure(1000, 0.5, 100, 2500);
      add("tasks", Figure(2, 0.8, 1, 12));
      add("cpu", Figure(2600, 0.45, 200, 7700));
      add("mem", Figure(7300, 0.6, 500, 22'000));
      if (Chance(0.3)) body += " gang";
    }
    add("ms", run_ms);
    add("estimate", Figure(static_cast<double>(run_ms), estimate_spread, 50, 60'000));
    if (kind < kShareOfGangs + kShareOfBatches && Chance(0.03)) body += " fails";
    const int team = hot_team >= 0 && !Chance(1.0 / kHotFactor) ? hot_team : Pick(kTeams);
    arrival.key = "key" + std::to_string(team);
    return arrival;
  }

  int hot_team = -1;  ///< sends many times its usual share

  bool Chance(double probability) { return std::uniform_real_distribution<>(0, 1)(m_random) < probability; }
  int Pick(int bound) { return static_cast<int>(m_random() % static_cast<unsigned>(bound)); }

 private:
  static constexpr double kJobsPerSecond = 36.8;
  static constexpr double kShareOfGangs = 0.045;
  static constexpr double kShareOfBatches = 0.118;
  static constexpr double kHotFactor = 3.0;
  static constexpr double kLimitFactor = 1.9;

  static Resources TeamLimit() {
    const auto share = [](std::int64_t each) {
      return std::llround(static_cast<double>(each * kUpstreams) * kLimitFactor / kTeams);
    };
    return {share(kUpstreamCpuMillis), share(kUpstreamMemoryMb), 0, 0};
  }

  void AddQueue(const std::string& name, std::int64_t priority, double stretch, const PolicyConfig& policy) {
    QueueConfig queue = m_site.config->queues.front();
    queue.id = QueueId(name);
    queue.prefix = "/" + name + "/";
    queue.priority = priority;
    queue.stretch = stretch;
    queue.target_duration_ms = 0;
    queue.policy = policy;
    m_site.config->queues.push_back(queue);
  }

  /// @return a log-normal figure with this mean, between bounds
  std::int64_t Figure(double mean, double spread, double lowest, double highest) {
    const double value = std::lognormal_distribution<>(std::log(mean) - spread * spread / 2, spread)(m_random);
    return std::llround(std::clamp(value, lowest, highest));
  }

  FakeSite& m_site;
  std::mt19937 m_random;
  std::uint64_t m_count = 0;
};

}  // namespace jaymast
