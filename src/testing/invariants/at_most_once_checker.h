#pragma once

#include <set>
#include <string>

#include "testing/invariants/invariant_checker.h"

namespace jaymast {

/// G8: an at-most-once task starts at most once, also when it was submitted twice under one idempotency key.
class AtMostOnceChecker final : public InvariantChecker {
 public:
  explicit AtMostOnceChecker(const Facts& facts) : InvariantChecker("G8 at most once", facts) {}

 private:
  void OnEvent(const Event& event) override {
    if (event.kind != EventKind::kRunnerStarted) return;
    if (facts().Spec(event.task).semantics != Semantics::kAtMostOnce) return;
    if (!m_started.insert(facts().WorkKey(event.task)).second) Report(event, "the work had already started once");
  }

  std::set<std::string> m_started;
};

}  // namespace jaymast
