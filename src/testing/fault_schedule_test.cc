#include "testing/fault_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "testing/session_file.h"

namespace jaymast {
namespace {

constexpr std::size_t kFaultKinds = EnumNames<FaultKind>::kNames.size();
constexpr int kFewestEntries = 3;
constexpr int kEntryCounts = 4;  // 3 to 6 entries
constexpr std::size_t kPrintedFailures = 5;

struct ScheduleCase {
  std::uint64_t seed;
  int entries;
  std::vector<FaultKind> faults;
};

std::string Describe(const ScheduleCase& schedule) {
  std::string text = "seed" + std::to_string(schedule.seed) + "_entries" + std::to_string(schedule.entries);
  for (const FaultKind fault : schedule.faults) text += "_" + std::string(ToString(fault));
  std::replace(text.begin(), text.end(), '-', '_');
  return text;
}

/// Each fault alone with as many entries as allowed, and each pair of faults, each with its own seed.
std::vector<ScheduleCase> Cases() {
  std::vector<ScheduleCase> cases;
  std::uint64_t seed = 1;
  for (std::size_t a = 0; a < kFaultKinds; ++a) {
    for (int more = 0; more < kEntryCounts; ++more) {
      cases.push_back({seed++, kFewestEntries + more, {static_cast<FaultKind>(a)}});
    }
    for (std::size_t b = a; b < kFaultKinds; ++b) {
      const int entries = kFewestEntries + static_cast<int>(seed % kEntryCounts);
      cases.push_back({seed++, entries, {static_cast<FaultKind>(a), static_cast<FaultKind>(b)}});
    }
  }
  return cases;
}

class FaultScheduleTest : public testing::TestWithParam<ScheduleCase> {};

// Guards every guarantee, and the end of all accepted work, against faults alone and in pairs.
TEST_P(FaultScheduleTest, KeepsGuaranteesAndSettles) {
  const ScheduleCase& schedule = GetParam();
  const std::string text = FaultSchedule(schedule.seed, schedule.entries, schedule.faults).Write();
  const Result<SessionOutcome> outcome = PlaySessionText(text);
  ASSERT_TRUE(outcome) << outcome.error().path << ": " << outcome.error().reason;
  const std::size_t printed = std::min(outcome->failures.size(), kPrintedFailures);
  for (std::size_t i = 0; i < printed; ++i) ADD_FAILURE() << outcome->failures[i];
}

INSTANTIATE_TEST_SUITE_P(Faults, FaultScheduleTest, testing::ValuesIn(Cases()),
                         [](const auto& info) { return Describe(info.param); });

}  // namespace
}  // namespace jaymast
