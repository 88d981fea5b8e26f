#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "testing/fault_schedule.h"
#include "testing/session_file.h"

namespace jaymast {
namespace {

constexpr int kFailed = 1;
constexpr int kUnreadable = 2;

/// Plays one session file. Returns the exit status.
int Play(const std::string& file, bool update, bool quiet) {
  const Result<SessionOutcome> outcome = PlaySessionFile(file);
  if (!outcome) {
    std::cerr << outcome.error().path << ": " << outcome.error().reason << "\n";
    return kUnreadable;
  }
  if (!quiet) std::cout << outcome->output;
  for (const std::string& failure : outcome->failures) std::cerr << file << ": " << failure << "\n";
  if (!outcome->failures.empty()) return kFailed;
  if (update) std::ofstream(GoldenFileOf(file), std::ios::binary) << outcome->output;
  return 0;
}

/// Prints the session text of a fault schedule, so that a failing seed can be played and reduced by hand.
int PrintSchedule(std::uint64_t seed, int entries, const std::vector<std::string>& names) {
  std::vector<FaultKind> faults;
  for (const std::string& name : names) {
    const std::optional<FaultKind> fault = FromString<FaultKind>(name);
    if (!fault) {
      std::cerr << "--fault: unknown fault '" << name << "'\n";
      return kUnreadable;
    }
    faults.push_back(*fault);
  }
  std::cout << FaultSchedule(seed, entries, faults).Write();
  return 0;
}

}  // namespace
}  // namespace jaymast

int main(int argc, char** argv) {
  CLI::App app("Plays session files: scripted runs of several entries with a fake clock.");
  app.set_version_flag("--version", JAYMAST_VERSION);
  std::vector<std::string> files;
  bool update = false;
  bool quiet = false;
  app.add_option("session", files, "Session files")->check(CLI::ExistingFile);
  app.add_flag("--update", update, "Rewrite the golden files of sessions without failures");
  app.add_flag("--quiet", quiet, "Print failures only");
  std::uint64_t seed = 1;
  int entries = 3;
  std::vector<std::string> faults;
  app.add_option("--fault", faults, "Print the session of a fault schedule with these faults instead");
  app.add_option("--seed", seed, "Seed of the fault schedule");
  app.add_option("--entries", entries, "Entries of the fault schedule")->check(CLI::Range(3, 6));
  CLI11_PARSE(app, argc, argv);
  if (!faults.empty()) return jaymast::PrintSchedule(seed, entries, faults);
  int status = 0;
  for (const std::string& file : files) status = std::max(status, jaymast::Play(file, update, quiet));
  return status;
}
