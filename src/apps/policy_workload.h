#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

#include "base/time.h"
#include "model/task_spec.h"
#include "model/upstream_info.h"

namespace jaymast {

/// Size of a cluster for the policy benchmark.
struct ClusterSize {
  std::string id;    ///< value of the option --size
  std::string name;  ///< title in tables
  int workers = 50;
  int domains = 3;
  int teams = 6;
  int accelerators = 0;
};

/// A task with its actual run time, which the scheduler does not know.
struct BenchTask {
  TaskSpec spec;
  Duration run{};
  bool can_checkpoint = true;
};

/// Generates workers and tasks of mixed classes from a seed. Declared run times are wrong by up to 10x either way.
class PolicyWorkload {
 public:
  PolicyWorkload(const ClusterSize& size, std::uint64_t seed) : m_size(size), m_random(seed) {}

  /// Half of the workers have 32 cores and 128 GB, half 64 cores and 256 GB; all have 8 slots. Accelerators come in
  /// groups of four. Eight workers share a rack.
  UpstreamInfo Worker(int number) const {
    const bool large = number % 2 == 1;
    UpstreamInfo info;
    info.id = UpstreamId("u" + std::to_string(number));
    info.domain = DomainId("d" + std::to_string(number % m_size.domains));
    info.rack = std::to_string(number / (8 * m_size.domains));
    info.capacity = {large ? 64'000 : 32'000, large ? 262'144 : 131'072, 0, 8};
    if (number < m_size.accelerators / kAcceleratorsPerWorker) info.capacity.accelerators = kAcceleratorsPerWorker;
    info.connections = 64;
    return info;
  }

  TeamId Team(int number) const { return TeamId("team" + std::to_string(number)); }
  std::int64_t Share(int team) const { return 1 + team % 4; }
  int RandomTeam() { return static_cast<int>(m_random() % static_cast<std::uint64_t>(m_size.teams)); }
  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
  double Exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(m_random); }

  BenchTask Preview(int team) { return Make(team, WorkClass::kPreview, {2'000, 4'096, 0, 1}, kPreviewSeconds, 0.5); }
  BenchTask Urgent(int team) { return Make(team, WorkClass::kUrgent, {4'000, 8'192, 0, 1}, kUrgentSeconds, 0.5); }

  BenchTask Service(int team) {
    BenchTask task = Make(team, WorkClass::kService, {4'000, 16'384, 0, 1}, kServiceSeconds, 0);
    task.spec.kind = "service" + std::to_string(m_random() % 4);
    return task;
  }

  BenchTask Batch(int team) {
    const auto kind = m_random() % kKindSeconds.size();
    BenchTask task = Make(team, WorkClass::kBatch, BatchDemand(), kKindSeconds.at(kind), 0.6);
    task.spec.kind = "batch" + std::to_string(kind);
    task.can_checkpoint = m_random() % 10 != 0;
    return task;
  }

  /// A member of a gang. The caller gives all members the same demand.
  BenchTask Gang(int team) {
    BenchTask task = Make(team, WorkClass::kGang, {8'000, 32'768, 0, 1}, kGangSeconds, 0.6);
    task.spec.gang_size = static_cast<std::int64_t>(2 + m_random() % 7);
    return task;
  }

  static constexpr double kPreviewSeconds = 0.2;
  static constexpr double kUrgentSeconds = 5;
  static constexpr double kGangSeconds = 60;
  static constexpr double kServiceSeconds = 1e6;
  static constexpr double kMeanBatchSeconds = 60;
  static constexpr double kMeanBatchCores = 7.41;
  static constexpr double kMeanGangCores = 8.0 * 5;

 private:
  static constexpr int kAcceleratorsPerWorker = 4;
  static constexpr std::array<double, 3> kKindSeconds = {20, 60, 100};

  Resources BatchDemand() {
    const double pick = Uniform();
    const std::int64_t cores = pick < 0.08 ? 1 : pick < 0.25 ? 2 : pick < 0.5 ? 4 : pick < 0.75 ? 8 : 16;
    const auto gigabytes = cores * static_cast<std::int64_t>(2 + m_random() % 4);
    const bool accelerated = m_size.accelerators > 0 && m_random() % 6 == 0;
    return {cores * 1'000, std::min<std::int64_t>(gigabytes, 60) * 1'024, accelerated ? 1 : 0, 1};
  }

  BenchTask Make(int team, WorkClass work_class, const Resources& demand, double seconds, double sigma) {
    BenchTask task;
    task.spec.id = TaskId("t" + std::to_string(++m_tasks));
    task.spec.team = Team(team);
    task.spec.kind = std::string(ToString(work_class));
    task.spec.work_class = work_class;
    task.spec.demand = demand;
    // The mean of a log-normal distribution is exp(sigma^2 / 2) times its median.
    const double noise = std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(m_random);
    const double actual = sigma > 0 ? seconds * noise : seconds;
    task.run = Duration(static_cast<std::int64_t>(actual * 1e6));
    const double error = std::pow(10.0, 2 * Uniform() - 1);
    task.spec.declared_run_ms = std::max<std::int64_t>(1, static_cast<std::int64_t>(actual * 1e3 * error));
    return task;
  }

  ClusterSize m_size;
  std::mt19937_64 m_random;
  std::uint64_t m_tasks = 0;
};

}  // namespace jaymast
