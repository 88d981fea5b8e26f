#include <fmt/format.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "apps/policy_report.h"
#include "apps/policy_simulation.h"
#include "apps/policy_workload.h"
#include "placement/placer.h"

namespace jaymast {
namespace {

const ClusterSize kCurrentSize{"current", "50 workers", 50, 3, 6, 0};
const ClusterSize kTargetSize{"target", "1,100 workers", 1'100, 6, 150, 1'700};

const std::vector<PolicySet> kPolicySets = {
    {"jaymast", "", QueueOrder::kFairShare},
    {"first-fit", "first-fit", QueueOrder::kArrival},
    {"random", "random", QueueOrder::kArrival},
    {"strict-priority", "strict-priority", QueueOrder::kPriority},
};

struct Options {
  std::uint64_t seed = 1;
  int decisions = 200'000;
  std::string only;
  std::string size;
  std::string policy;
  std::string svg;
};

bool IsSelected(const Options& options, const std::string& table) {
  return options.only.empty() || options.only == table;
}

std::vector<PolicySet> SelectedPolicies(const Options& options) {
  std::vector<PolicySet> selected;
  for (const PolicySet& policies : kPolicySets) {
    if (options.policy.empty() || options.policy == policies.name) selected.push_back(policies);
  }
  return selected;
}

/// Time of single decisions (choice and reservation) on a cluster that is kept at 90% of its processors.
class DecisionTiming {
 public:
  DecisionTiming(const ClusterSize& size, const PolicySet& policies, std::uint64_t seed)
      : m_workload(size, seed), m_placer(seed), m_random(seed), m_teams(size.teams) {
    std::map<WorkClass, std::string> named;
    for (std::size_t i = 0; i < EnumNames<WorkClass>::kNames.size(); ++i) {
      if (!policies.policy.empty()) named[static_cast<WorkClass>(i)] = policies.policy;
    }
    m_placer.SetPolicies(named);
    for (int i = 0; i < size.workers; ++i) {
      const UpstreamInfo info = m_workload.Worker(i);
      m_placer.PutUpstream(info);
      m_placer.SetEligible(info.id, true);
    }
  }

  /// @return microseconds of each decision
  std::vector<double> Run(int decisions) {
    std::vector<double> micros;
    micros.reserve(static_cast<std::size_t>(decisions));
    while (micros.size() < static_cast<std::size_t>(decisions)) {
      const TaskSpec spec = NextTask();
      const auto start = std::chrono::steady_clock::now();
      const auto chosen = m_placer.Choose(spec, m_now);
      if (chosen) m_placer.Reserve(*chosen, spec, m_now);
      const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
      if (m_is_warm) micros.push_back(took.count());
      if (chosen) {
        m_running.emplace_back(*chosen, spec);
        m_used += spec.demand;
      } else {
        ReleaseOne();
      }
      while (IsAboveLoad()) ReleaseOne();
    }
    return micros;
  }

 private:
  TaskSpec NextTask() {
    const int team = static_cast<int>(m_random() % static_cast<std::uint64_t>(m_teams));
    const auto pick = m_random() % 10;
    if (pick < 2) return m_workload.Preview(team).spec;
    if (pick < 3) return m_workload.Urgent(team).spec;
    if (pick < 4) return m_workload.Service(team).spec;
    if (pick < 5) return m_workload.Gang(team).spec;
    return m_workload.Batch(team).spec;
  }

  bool IsAboveLoad() const {
    constexpr std::int64_t kLoadPercent = 90;
    return m_used.cpu_millis * 100 > m_placer.TotalCapacity().cpu_millis * kLoadPercent;
  }

  void ReleaseOne() {
    m_is_warm = true;
    std::swap(m_running[m_random() % m_running.size()], m_running.back());
    m_placer.Release(m_running.back().first, m_running.back().second, m_now);
    m_used -= m_running.back().second.demand;
    m_running.pop_back();
  }

  PolicyWorkload m_workload;
  Placer m_placer;
  std::mt19937_64 m_random;
  int m_teams;
  bool m_is_warm = false;
  Time m_now = TimeFromMicros(1'000'000);
  Resources m_used;
  std::vector<std::pair<UpstreamId, TaskSpec>> m_running;
};

double Mean(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) sum += value;
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

void ReportDecisions(const Options& options, PolicyReport& report) {
  report.Table("Decisions at 90% of the processors",
               {"a second, 50 workers", "a second, 1,100 workers", "99th percentile us, 50 workers",
                "99th percentile us, 1,100 workers", "cost ratio"});
  for (const PolicySet& policies : SelectedPolicies(options)) {
    const auto small = DecisionTiming(kCurrentSize, policies, options.seed).Run(options.decisions);
    const auto large = DecisionTiming(kTargetSize, policies, options.seed).Run(options.decisions);
    report.Row(policies.name, {1e6 / Mean(small), 1e6 / Mean(large), Quantile(small, 0.99), Quantile(large, 0.99),
                               Mean(large) / Mean(small)});
  }
}

SimulationResult Simulate(const ClusterSize& size, const PolicySet& policies, const Options& options, double load) {
  SimulationSettings settings;
  settings.size = size;
  settings.policies = policies;
  settings.load = load;
  settings.seed = options.seed;
  return PolicySimulation(settings).Run();
}

void ReportWaiting(const Options& options, PolicyReport& report, const ClusterSize& size) {
  constexpr double kLoad = 0.9;
  report.Table("Waiting at 90% load, " + size.name, {"preview p99 ms", "urgent p99.9 ms", "gang p99 s", "starts",
                                                     "round p99 us", "rounds' starts a second"});
  for (const PolicySet& policies : SelectedPolicies(options)) {
    const SimulationResult result = Simulate(size, policies, options, kLoad);
    const double busy_seconds = Mean(result.round_us) * static_cast<double>(result.round_us.size()) / 1e6;
    report.Row(policies.name, {Quantile(result.preview_wait_ms, 0.99), Quantile(result.urgent_wait_ms, 0.999),
                               Quantile(result.gang_wait_ms, 0.99) / 1e3, static_cast<double>(result.starts),
                               Quantile(result.round_us, 0.99), static_cast<double>(result.starts) / busy_seconds});
  }
}

void ReportSaturation(const Options& options, PolicyReport& report, const ClusterSize& size) {
  report.Table("Saturation, " + size.name, {"packing", "fractional bound", "ratio", "largest deviation from share",
                                            "gang p99 s", "preview p99 ms", "waiting", "state MB"});
  for (const PolicySet& policies : SelectedPolicies(options)) {
    const SimulationResult result = Simulate(size, policies, options, 0);
    report.Row(policies.name,
               {result.packing, result.bound, result.packing / result.bound, result.largest_deviation,
                Quantile(result.gang_wait_ms, 0.99) / 1e3, Quantile(result.preview_wait_ms, 0.99),
                static_cast<double>(result.waiting), static_cast<double>(result.state_bytes) / (1 << 20)});
  }
}

void ReportDomainOut(const Options& options, PolicyReport& report, const ClusterSize& size) {
  report.Table("A third of the failure domains out for 30 minutes, " + size.name,
               {"work done over bound", "repeated core seconds", "done core seconds"});
  for (const PolicySet& policies : SelectedPolicies(options)) {
    SimulationSettings settings;
    settings.size = size;
    settings.policies = policies;
    settings.load = 0;
    settings.measured = std::chrono::minutes(30);
    settings.domain_out = true;
    settings.seed = options.seed;
    const SimulationResult result = PolicySimulation(settings).Run();
    report.Row(policies.name, {result.work_ratio, result.lost_core_seconds, result.done_core_seconds});
  }
}

int Main(const Options& options) {
  PolicyReport report;
  if (IsSelected(options, "decisions")) ReportDecisions(options, report);
  for (const ClusterSize& size : {kCurrentSize, kTargetSize}) {
    if (!options.size.empty() && options.size != size.id) continue;
    if (IsSelected(options, "waiting")) ReportWaiting(options, report, size);
    if (IsSelected(options, "saturation")) ReportSaturation(options, report, size);
    if (IsSelected(options, "domain-out")) ReportDomainOut(options, report, size);
  }
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  fmt::print("\nPeak resident set of this process with the simulation: {} MB\n", usage.ru_maxrss / 1024);
  if (options.svg.empty() || report.WriteSvg(options.svg)) return 0;
  fmt::print(stderr, "jaymast.input.field: --svg: cannot write {}\n", options.svg);
  return 1;
}

}  // namespace
}  // namespace jaymast

int main(int argc, char** argv) {
  jaymast::Options options;
  CLI::App app{"Measures the placement policies and baselines with seeded arrivals and a fake clock"};
  app.set_version_flag("--version", JAYMAST_VERSION);
  app.set_config("--config", "", "TOML file with the options below")->check(CLI::ExistingFile);
  app.allow_config_extras(CLI::config_extras_mode::error);
  app.add_option("--seed", options.seed, "Seed of arrivals and of the policies")->capture_default_str();
  app.add_option("--decisions", options.decisions, "Timed decisions for each policy and size")
      ->capture_default_str()
      ->check(CLI::Range(1'000, 100'000'000));
  app.add_option("--only", options.only, "Run one group of tables")
      ->check(CLI::IsMember({"decisions", "waiting", "saturation", "domain-out"}));
  app.add_option("--size", options.size, "Simulate one size")->check(CLI::IsMember({"current", "target"}));
  app.add_option("--policy", options.policy, "Run one set of policies")
      ->check(CLI::IsMember({"jaymast", "first-fit", "random", "strict-priority"}));
  app.add_option("--svg", options.svg, "Write bar charts of all figures to this file");
  CLI11_PARSE(app, argc, argv);
  return jaymast::Main(options);
}
