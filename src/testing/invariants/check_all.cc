#include "testing/invariants/check_all.h"

#include <memory>

#include "testing/invariants/answers_checker.h"
#include "testing/invariants/at_most_once_checker.h"
#include "testing/invariants/capacity_checker.h"
#include "testing/invariants/configuration_checker.h"
#include "testing/invariants/domain_out_checker.h"
#include "testing/invariants/exclusive_checker.h"
#include "testing/invariants/graceful_stop_checker.h"
#include "testing/invariants/keys_checker.h"
#include "testing/invariants/leaving_checker.h"
#include "testing/invariants/limit_checker.h"
#include "testing/invariants/verdict_checker.h"

namespace jaymast {
namespace {

std::vector<std::unique_ptr<InvariantChecker>> MakeCheckers(const Facts& facts) {
  std::vector<std::unique_ptr<InvariantChecker>> checkers;
  checkers.push_back(std::make_unique<CapacityChecker>(facts));
  checkers.push_back(std::make_unique<ExclusiveChecker>(facts));
  checkers.push_back(std::make_unique<KeysChecker>(facts));
  checkers.push_back(std::make_unique<LimitChecker>(facts));
  checkers.push_back(std::make_unique<DomainOutChecker>(facts));
  checkers.push_back(std::make_unique<AnswersChecker>(facts));
  checkers.push_back(std::make_unique<VerdictChecker>(facts));
  checkers.push_back(std::make_unique<AtMostOnceChecker>(facts));
  checkers.push_back(std::make_unique<LeavingChecker>(facts));
  checkers.push_back(std::make_unique<GracefulStopChecker>(facts));
  checkers.push_back(std::make_unique<ConfigurationChecker>(facts));
  return checkers;
}

}  // namespace

std::vector<Violation> CheckAllInvariants(const Facts& facts, const std::vector<Event>& events) {
  std::vector<Violation> found;
  for (const auto& checker : MakeCheckers(facts)) {
    for (const Event& event : events) checker->Feed(event);
    checker->Finish();
    found.insert(found.end(), checker->violations().begin(), checker->violations().end());
  }
  return found;
}

}  // namespace jaymast
