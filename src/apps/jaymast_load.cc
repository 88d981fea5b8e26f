#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>

#include "load/load_run.h"

namespace jaymast {
namespace {

constexpr int kExitError = 1;
constexpr int kExitWrongAnswers = 3;
constexpr double kMaxRate = 100'000;
constexpr std::int64_t kMaxDurationMs = 3'600'000;
constexpr std::int64_t kMaxPaddingBytes = 1 << 19;

int Main(int argc, char** argv) {
  CLI::App app("Sends an open-loop load to running entries and checks and measures the answers.", "jaymast-load");
  app.set_version_flag("--version", JAYMAST_VERSION);
  app.set_config("--config", "", "TOML file with the options below as keys");
  app.allow_config_extras(false);
  LoadOptions options;
  bool as_json = false;
  std::int64_t duration_ms = options.duration.count();
  std::int64_t timeout_ms = options.timeout.count();
  std::int64_t wait_ms = options.submission_wait.count();
  std::int64_t run_ms = options.run_time.count();
  app.add_option("--entry", options.entries, "IP:port of an entry; repeat for several");
  app.add_option("--baseline", options.baselines, "IP:port of a runner that no entry uses, to compare with");
  app.add_option("--key", options.key, "secret of a submitter")->envname("JAYMAST_KEY");
  app.add_option("--team", options.team, "team of the key");
  app.add_option("--preview-rate", options.preview_rate, "previews a second")->check(CLI::Range(0.0, kMaxRate));
  app.add_option("--submit-rate", options.submission_rate, "submissions a second")->check(CLI::Range(0.0, kMaxRate));
  app.add_option("--duration-ms", duration_ms, "length of the run")->check(CLI::Range(std::int64_t{1}, kMaxDurationMs));
  app.add_option("--timeout-ms", timeout_ms, "deadline of each request")
      ->check(CLI::Range(std::int64_t{1}, kMaxDurationMs));
  app.add_option("--submit-wait-ms", wait_ms, "wait of a submission for its outcome; 0 for its acceptance")
      ->check(CLI::Range(std::int64_t{0}, kMaxDurationMs));
  app.add_option("--run-ms", run_ms, "run time of each task")->check(CLI::Range(std::int64_t{0}, kMaxDurationMs));
  app.add_option("--connections", options.connections, "connections to each address")->check(CLI::Range(1, 1024));
  app.add_option("--padding-bytes", options.padding_bytes, "size of the padding in each body")
      ->check(CLI::Range(std::int64_t{0}, kMaxPaddingBytes));
  app.add_option("--seed", options.seed, "seed of the schedule");
  app.add_flag("--json", as_json, "print JSON instead of a table");
  CLI11_PARSE(app, argc, argv);
  options.duration = std::chrono::milliseconds(duration_ms);
  options.timeout = std::chrono::milliseconds(timeout_ms);
  options.submission_wait = std::chrono::milliseconds(wait_ms);
  options.run_time = std::chrono::milliseconds(run_ms);

  const Result<LoadReport> report = RunLoad(options);
  if (!report) {
    const Error& error = report.error();
    std::cerr << fmt::format("{}: {} [{}]\n", error.path, error.reason, ToString(error.id));
    return kExitError;
  }
  std::cout << (as_json ? report->ToJsonText() + "\n" : report->ToTable());
  return report->wrong_answers() == 0 ? 0 : kExitWrongAnswers;
}

}  // namespace
}  // namespace jaymast

int main(int argc, char** argv) { return jaymast::Main(argc, argv); }
