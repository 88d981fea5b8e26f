#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "apps/capacity_fleet.h"
#include "apps/capacity_report.h"
#include "apps/policy_report.h"

namespace jaymast {
namespace {

constexpr double kMillion = 1e6;

struct Dimension {
  const char* name;
  std::int64_t FleetSize::*field;
  std::vector<std::int64_t> sizes;
};

const std::vector<Dimension>& Dimensions() {
  static const std::vector<Dimension> kDimensions = {
      {"entries", &FleetSize::entries, {3, 6, 12, 24, 48}}, {"upstreams", &FleetSize::upstreams, {50, 200, 550, 1100}},
      {"teams", &FleetSize::teams, {6, 50, 150}},           {"tasks", &FleetSize::tasks, {500, 2000, 7100}},
      {"starts", &FleetSize::starts, {12, 24, 47, 94}},     {"previews", &FleetSize::previews, {25, 100, 400}},
  };
  return kDimensions;
}

/// Mean over entries of one counter, per second.
double Mean(const std::vector<CapacityCounters>& all, double CapacityCounters::*counter, double seconds) {
  double sum = 0;
  for (const CapacityCounters& one : all) sum += one.*counter;
  return sum / static_cast<double>(all.size()) / seconds;
}

double Largest(const std::vector<CapacityCounters>& all, double CapacityCounters::*counter, double seconds) {
  double largest = 0;
  for (const CapacityCounters& one : all) largest = std::max(largest, one.*counter);
  return largest / seconds;
}

/// Rates of the kinds of rows.
void AddKinds(CapacityReport::Figures& figures, const std::string& name, const std::vector<CapacityCounters>& all,
              std::map<std::string, double> CapacityCounters::*kinds, double seconds) {
  for (const char* kind : {"allot", "config", "entry", "owner", "task"}) {
    double sum = 0;
    for (const CapacityCounters& one : all) {
      const auto found = (one.*kinds).find(kind);
      if (found != (one.*kinds).end()) sum += found->second;
    }
    figures.emplace_back(fmt::format("{} {}/s", kind, name), sum / static_cast<double>(all.size()) / seconds);
  }
}

CapacityReport::Figures RatesOf(const std::vector<CapacityCounters>& all, double seconds) {
  const auto mean = [&](double CapacityCounters::*counter) { return Mean(all, counter, seconds); };
  return {
      {"table reads/s", mean(&CapacityCounters::table_reads)},
      {"rows read/s", mean(&CapacityCounters::rows_read)},
      {"table bytes read/s", mean(&CapacityCounters::bytes_read)},
      {"table writes/s", mean(&CapacityCounters::table_writes)},
      {"write conflicts/s", mean(&CapacityCounters::conflicts)},
      {"rows written/s", mean(&CapacityCounters::rows_written)},
      {"table bytes written/s", mean(&CapacityCounters::bytes_written)},
      {"peer messages/s", mean(&CapacityCounters::peer_messages)},
      {"peer bytes/s", mean(&CapacityCounters::peer_bytes)},
      {"probe messages/s", mean(&CapacityCounters::probe_messages)},
      {"probe bytes/s", mean(&CapacityCounters::probe_bytes)},
      {"upstream calls/s", mean(&CapacityCounters::upstream_calls)},
      {"upstream bytes/s", mean(&CapacityCounters::upstream_bytes)},
      {"instance list bytes/s", mean(&CapacityCounters::list_bytes)},
      {"core ms/s", mean(&CapacityCounters::core_ns) / kMillion},
      {"core ms/s, busiest entry", Largest(all, &CapacityCounters::core_ns, seconds) / kMillion},
      {"codec ms/s", mean(&CapacityCounters::codec_ns) / kMillion},
  };
}

/// Traffic of the whole fleet during a span of time, without probes, which come in waves.
struct Traffic {
  double messages = 0;
  double bytes = 0;
};

Traffic TrafficOf(const std::vector<CapacityCounters>& all) {
  Traffic traffic;
  for (const CapacityCounters& one : all) {
    traffic.messages +=
        one.peer_messages + one.table_reads + one.table_writes + one.upstream_calls - one.probe_messages;
    traffic.bytes += one.peer_bytes + one.bytes_read + one.bytes_written + one.upstream_bytes - one.probe_bytes;
  }
  return traffic;
}

/// Traffic above that of as long a time without the event.
template <typename Cause>
Traffic ExtraTraffic(CapacityFleet& fleet, Duration time, Cause cause) {
  const Traffic usual = TrafficOf(fleet.Measure(time));
  cause();
  const Traffic unusual = TrafficOf(fleet.Measure(time));
  return {unusual.messages - usual.messages, unusual.bytes - usual.bytes};
}

CapacityReport::Figures MeasureFleet(const FleetSize& size, std::int64_t settle, std::int64_t seconds,
                                     std::uint64_t seed, bool events) {
  constexpr Duration kChangeTime = std::chrono::seconds(10);
  constexpr Duration kReplaceTime = std::chrono::seconds(20);
  CapacityFleet fleet(size, seed);
  fleet.WarmUp(std::chrono::seconds(settle));
  const auto counters = fleet.Measure(std::chrono::seconds(seconds));
  CapacityReport::Figures figures = RatesOf(counters, static_cast<double>(seconds));
  AddKinds(figures, "reads", counters, &CapacityCounters::reads_by_kind, static_cast<double>(seconds));
  AddKinds(figures, "writes", counters, &CapacityCounters::writes_by_kind, static_cast<double>(seconds));
  figures.emplace_back("entries ready", fleet.ReadyEntries());
  figures.emplace_back("tasks running", fleet.RunningTasks());
  figures.emplace_back("replies refused", fleet.refused());
  if (size.starts > 0) {
    figures.emplace_back("urgent start ms p99", Quantile(fleet.StartDelays(WorkClass::kUrgent), 0.99));
    figures.emplace_back("urgent start ms p99.9", Quantile(fleet.StartDelays(WorkClass::kUrgent), 0.999));
  }
  if (size.previews > 0) {
    figures.emplace_back("preview start ms p99", Quantile(fleet.StartDelays(WorkClass::kPreview), 0.99));
  }
  if (events) {
    const Traffic change = ExtraTraffic(fleet, kChangeTime, [&] { fleet.ChangeConfig(); });
    figures.emplace_back("change: in force ms", fleet.in_force_ms().value_or(-1));
    figures.emplace_back("change: messages", change.messages);
    figures.emplace_back("change: kB", change.bytes / 1000);
    const Traffic replace = ExtraTraffic(fleet, kReplaceTime, [&] { fleet.ReplaceEntry(); });
    figures.emplace_back("replacement: messages", replace.messages);
    figures.emplace_back("replacement: kB", replace.bytes / 1000);
  }
  figures.emplace_back("configuration bytes", static_cast<double>(fleet.config_bytes()));
  std::int64_t rows = 0;
  std::int64_t bytes = 0;
  for (const auto& [kind, sum] : fleet.TableRows()) {
    rows += sum.first;
    bytes += sum.second;
  }
  figures.emplace_back("table rows", rows);
  figures.emplace_back("table kB", static_cast<double>(bytes) / 1000);
  const std::vector<double> memory = fleet.TakeMemory();
  double sum = 0;
  for (const double one : memory) sum += one;
  figures.emplace_back("core memory kB", sum / static_cast<double>(memory.size()) / 1000);
  figures.emplace_back("core memory kB, largest", *std::max_element(memory.begin(), memory.end()) / 1000);
  return figures;
}

}  // namespace
}  // namespace jaymast

int main(int argc, char** argv) {
  using jaymast::FleetSize;
  CLI::App app("Measures the cost of control of several entries at growing sizes, under a fake clock.");
  app.set_version_flag("--version", JAYMAST_VERSION);
  FleetSize base;
  std::vector<std::string> names;
  std::int64_t seconds = 10;
  std::int64_t settle = 25;
  std::uint64_t seed = 1;
  bool events = false;
  std::string svg;
  app.add_option("--dimension", names, "Sizes to vary one at a time; without it, the fleet of the other options");
  app.add_option("--entries", base.entries, "Entries")->capture_default_str()->check(CLI::Range(3, 200));
  app.add_option("--upstreams", base.upstreams, "Upstreams")->capture_default_str()->check(CLI::Range(6, 10'000));
  app.add_option("--teams", base.teams, "Teams")->capture_default_str()->check(CLI::Range(1, 10'000));
  app.add_option("--tasks", base.tasks, "Tasks that run all the time")->capture_default_str();
  app.add_option("--starts", base.starts, "Task starts a second")->capture_default_str();
  app.add_option("--previews", base.previews, "Previews a second")->capture_default_str();
  app.add_option("--seconds", seconds, "Simulated seconds measured")->capture_default_str()->check(CLI::Range(1, 600));
  app.add_option("--settle", settle, "Simulated seconds between the submission of the long tasks and the measurement")
      ->capture_default_str()
      ->check(CLI::Range(1, 3600));
  app.add_option("--seed", seed, "Seed of the entries' random numbers")->capture_default_str();
  app.add_flag("--events", events, "Also measure a configuration change and the replacement of an entry");
  app.add_option("--svg", svg, "Write line plots to this file");
  CLI11_PARSE(app, argc, argv);
  jaymast::CapacityReport report;
  if (names.empty()) {
    report.Begin("one fleet, by entries");
    report.Add(static_cast<double>(base.entries), jaymast::MeasureFleet(base, settle, seconds, seed, events));
    report.End();
  }
  for (const std::string& name : names) {
    const auto& dimensions = jaymast::Dimensions();
    const auto found =
        std::find_if(dimensions.begin(), dimensions.end(), [&](const auto& d) { return d.name == name; });
    if (found == dimensions.end()) {
      std::cerr << "--dimension: unknown dimension '" << name << "'\n";
      return 2;
    }
    report.Begin(name);
    for (const std::int64_t value : found->sizes) {
      FleetSize size = base;
      size.*(found->field) = value;
      report.Add(static_cast<double>(value), jaymast::MeasureFleet(size, settle, seconds, seed, events));
    }
    report.End();
  }
  if (!svg.empty() && !report.WriteSvg(svg)) {
    std::cerr << "--svg: cannot write " << svg << "\n";
    return 1;
  }
  return 0;
}
