#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"

namespace jaymast {

/// Faults that a random schedule injects.
enum class FaultKind {
  kCrash,
  kPause,
  kPartition,
  kPlatformCut,
  kStoreDown,
  kStoreSlow,
  kLostAnswers,
  kLateAnswers,
  kLeaving,
  kRunnerCrash,
  kRacingOperators,
  kLaggingList,
  kCancelWave,
  kPlannedStop,
};

template <>
struct EnumNames<FaultKind> {
  static constexpr std::array<std::string_view, 14> kNames = {
      "crash",        "pause",   "partition",    "platform-cut",     "store-down",   "store-slow",  "lost-answers",
      "late-answers", "leaving", "runner-crash", "racing-operators", "lagging-list", "cancel-wave", "planned-stop",
  };
};

/// Writes a session with random work and random faults of the given kinds. After the faults everything heals, and the
/// session expects that all accepted work ends and that all callers have an answer.
class FaultSchedule {
 public:
  /// @param entries number of entries, at least 3; they are spread over three failure domains
  FaultSchedule(std::uint64_t seed, int entries, std::vector<FaultKind> faults);

  /// The session text. The same arguments give the same text.
  std::string Write();

 private:
  void WriteCluster();
  void WriteWork();
  void WriteSubmission(std::int64_t at);
  void WriteFault(FaultKind kind);
  void WriteOperators(std::int64_t at);
  void WriteHealing();
  void WriteChange(std::int64_t at, const std::string& name, const std::string& entry, const std::string& intent);
  void Line(std::int64_t at, const std::string& text);

  std::int64_t Between(std::int64_t low, std::int64_t high);
  bool Chance(std::int64_t percent) { return Between(1, 100) <= percent; }
  std::string AnyEntry();
  std::string AnyUpstream();
  std::string AnyDomain();
  std::string AnyIntent();

  std::mt19937_64 m_random;
  std::uint64_t m_seed;
  int m_entries;
  std::vector<FaultKind> m_faults;
  std::string m_text;
  int m_requests = 0;
  std::vector<std::string> m_submissions;
  std::set<std::string> m_disturbed;  ///< entries that crash, pause or stop, each at most once
};

}  // namespace jaymast
