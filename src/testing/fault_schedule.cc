#include "testing/fault_schedule.h"

#include <fmt/format.h>

#include <utility>

namespace jaymast {
namespace {

constexpr std::array<std::string_view, 3> kDomains = {"north", "south", "west"};
constexpr int kUpstreams = 6;

// Times in milliseconds.
constexpr std::int64_t kWorkBegins = 2000;
constexpr std::int64_t kWorkEnds = 14'000;
constexpr std::int64_t kFaultsBegin = 4000;
constexpr std::int64_t kFaultsEnd = 10'000;
constexpr std::int64_t kLongestFault = 6000;
constexpr std::int64_t kHeal = 17'000;
constexpr std::int64_t kFirstRepair = 24'000;
constexpr std::int64_t kRepairInterval = 4000;
// The longest chain after the healing: leases expire, owners change, a returned domain ramps up for 30 s.
constexpr std::int64_t kSettled = 120'000;

}  // namespace

FaultSchedule::FaultSchedule(std::uint64_t seed, int entries, std::vector<FaultKind> faults)
    : m_random(seed), m_seed(seed), m_entries(entries), m_faults(std::move(faults)) {}

std::string FaultSchedule::Write() {
  WriteCluster();
  WriteWork();
  for (const FaultKind kind : m_faults) WriteFault(kind);
  WriteHealing();
  Line(kSettled, "expect-settled");
  return std::exchange(m_text, {});
}

void FaultSchedule::Line(std::int64_t at, const std::string& text) { m_text += fmt::format("{} {}\n", at, text); }

std::int64_t FaultSchedule::Between(std::int64_t low, std::int64_t high) {
  const auto span = static_cast<std::uint64_t>(high - low + 1);
  return low + static_cast<std::int64_t>(m_random() % span);
}

std::string FaultSchedule::AnyEntry() { return fmt::format("e{}", Between(1, m_entries)); }
std::string FaultSchedule::AnyUpstream() { return fmt::format("u{}", Between(1, kUpstreams)); }
std::string FaultSchedule::AnyDomain() { return std::string(kDomains.at(static_cast<std::size_t>(Between(0, 2)))); }

void FaultSchedule::WriteCluster() {
  Line(0, fmt::format("seed {}", m_seed));
  Line(0, "team truss share 1 limit 14");
  Line(0, "team quilt share 2 limit 10");
  Line(0, "key truss-1 team truss");
  Line(0, "key truss-2 team truss");
  Line(0, "key quilt-1 team quilt");
  Line(0, "key ops team truss role operator");
  for (int i = 0; i < kUpstreams; ++i) {
    const std::string_view domain = kDomains.at(static_cast<std::size_t>(i) % kDomains.size());
    Line(0, fmt::format("upstream u{} domain {} rack r{} slots 4", i + 1, domain, i % 2));
  }
  for (int i = 0; i < m_entries; ++i) {
    const std::string_view domain = kDomains.at(static_cast<std::size_t>(i) % kDomains.size());
    Line(Between(1, 50), fmt::format("entry e{} domain {}", i + 1, domain));
  }
}

void FaultSchedule::WriteWork() {
  std::int64_t at = kWorkBegins;
  while (at < kWorkEnds) {
    at += Between(20, 250);
    WriteSubmission(at);
  }
}

void FaultSchedule::WriteSubmission(std::int64_t at) {
  constexpr std::array<std::string_view, 3> kKeys = {"truss-1", "truss-2", "quilt-1"};
  constexpr std::array<std::string_view, 3> kSemantics = {"idempotent", "at_most_once", "exclusive"};
  const std::string_view key = kKeys.at(static_cast<std::size_t>(Between(0, 2)));
  const std::string name = fmt::format("w{}", ++m_requests);
  const std::string retry = AnyEntry() + "," + AnyEntry();
  if (Chance(40)) {
    Line(at, fmt::format("preview {} to {} key {} run {} deadline 3000 retry {}", name, AnyEntry(), key,
                         Between(5, 200), retry));
    return;
  }
  const std::string_view semantics = kSemantics.at(static_cast<std::size_t>(Between(0, 2)));
  std::string line = fmt::format("submit {} to {} key {} semantics {} run {} idem {} retry {}", name, AnyEntry(), key,
                                 semantics, Between(50, 3000), name, retry);
  if (Chance(15)) {
    line += fmt::format(" class gang gang {} count 2", name);
  } else if (Chance(30)) {
    line += " class urgent";
  }
  if (Chance(50)) line += fmt::format(" wait {}", Between(500, 20'000));
  Line(at, line);
  m_submissions.push_back(name);
  if (!Chance(15)) return;
  // A caller that is not sure repeats its request, here at another entry at the same time.
  const std::string options = line.substr(line.find("key"));
  Line(at, fmt::format("submit {0}x to {1} {2} body {0}", name, AnyEntry(), options));
}

void FaultSchedule::WriteFault(FaultKind kind) {
  const std::int64_t at = Between(kFaultsBegin, kFaultsEnd);
  const std::int64_t until = at + Between(300, kLongestFault);
  std::string entry = AnyEntry();
  const bool disturbs = kind == FaultKind::kCrash || kind == FaultKind::kPause || kind == FaultKind::kPlannedStop;
  while (disturbs && !m_disturbed.insert(entry).second) entry = AnyEntry();
  switch (kind) {
    case FaultKind::kCrash:
      Line(at, "kill " + entry);
      return Line(Chance(50) ? until : kHeal, "restart " + entry);
    case FaultKind::kPause:
      Line(at, "pause " + entry);
      return Line(until, "resume " + entry);
    case FaultKind::kPartition:
      Line(at, Chance(50) ? fmt::format("cut {} {}", AnyEntry(), AnyEntry())
                          : fmt::format("cut {} {}", AnyEntry(), AnyUpstream()));
      return Line(at + Between(0, 500), fmt::format("cut {} {}", AnyDomain(), AnyDomain()));
    case FaultKind::kPlatformCut:
      Line(at, "cut-platform " + (Chance(50) ? AnyEntry() : AnyDomain()));
      return;
    case FaultKind::kStoreDown:
      Line(at, "store down");
      return Line(until, "store up");
    case FaultKind::kStoreSlow:
      Line(at, fmt::format("store slow delay {}", Between(50, 1500)));
      return Line(until, "store up");
    case FaultKind::kLostAnswers:
      Line(at, fmt::format("lose-answers {}", Between(1, 6)));
      return Line(until, fmt::format("lose-answers {}", Between(1, 6)));
    case FaultKind::kLateAnswers:
      Line(at, fmt::format("delay-answers {} count {} delay {}", AnyUpstream(), Between(2, 6), Between(100, 2500)));
      return Line(until, fmt::format("delay-answers {} count {} delay {}", AnyUpstream(), Between(2, 6), 1900));
    case FaultKind::kLeaving:
      // The second upstream of each domain may leave, so that every domain keeps one.
      return Line(at, fmt::format("leave u{}", Between(4, kUpstreams)));
    case FaultKind::kRunnerCrash: {
      const std::string upstream = AnyUpstream();
      Line(at, "runner-down " + upstream);
      return Line(until, "runner-up " + upstream);
    }
    case FaultKind::kRacingOperators:
      WriteOperators(at);
      return WriteOperators(until);
    case FaultKind::kLaggingList:
      Line(0, fmt::format("lag {}", Between(1000, 8000)));
      return Line(at, fmt::format("leave u{}", Between(4, kUpstreams)));
    case FaultKind::kCancelWave:
      for (const std::string& name : m_submissions) {
        if (Chance(50)) Line(until, fmt::format("cancel c-{0} of {0} to {1} key truss-1", name, AnyEntry()));
      }
      return;
    case FaultKind::kPlannedStop:
      Line(at, "stop " + entry);
      return Line(kHeal, "restart " + entry);
  }
}

std::string FaultSchedule::AnyIntent() {
  switch (Between(0, 4)) {
    case 0:
      return "domain-out " + AnyDomain();
    case 1:
      return fmt::format("limit truss {}", Between(2, 20));
    case 2:
      return "withdraw truss-2";
    case 3:
      return fmt::format("limit quilt {}", Between(2, 20));
    default:
      return "upstream-out " + AnyUpstream();
  }
}

void FaultSchedule::WriteChange(std::int64_t at, const std::string& name, const std::string& entry,
                                const std::string& intent) {
  Line(at, fmt::format("plan {} to {} key ops intent {}", name, entry, intent));
  Line(at + 100, fmt::format("confirm {0}-yes of {0} to {1} key ops", name, entry));
}

void FaultSchedule::WriteOperators(std::int64_t at) {
  for (const char* operator_name : {"a", "b"}) {
    const std::string name = fmt::format("p{}{}", operator_name, at);
    WriteChange(at + Between(0, 60), name, AnyEntry(), AnyIntent());
  }
}

void FaultSchedule::WriteHealing() {
  Line(kHeal, "heal");
  Line(kHeal, "store up");
  Line(kHeal, "lose-answers 0");
  std::int64_t at = kFirstRepair;
  std::vector<std::string> intents = {"limit truss 14", "limit quilt 10"};
  for (const std::string_view domain : kDomains) intents.push_back(fmt::format("domain-in {}", domain));
  for (int i = 1; i <= kUpstreams; ++i) intents.push_back(fmt::format("upstream-in u{}", i));
  for (const std::string& intent : intents) {
    WriteChange(at, fmt::format("repair{}", at), AnyEntry(), intent);
    at += kRepairInterval / 4;
  }
}

}  // namespace jaymast
