#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "core/event.h"
#include "testing/invariants/facts.h"
#include "testing/invariants/violation.h"

namespace jaymast {

/// "A few seconds" in the guarantees: the figure of the two-year target for a change to be in force everywhere.
inline constexpr Duration kFewSeconds = std::chrono::seconds(3);

/// Checks one guarantee over the ordered events of all processes.
class InvariantChecker {
 public:
  /// @param facts must outlive the checker
  InvariantChecker(std::string_view guarantee, const Facts& facts) : m_guarantee(guarantee), m_facts(facts) {}
  virtual ~InvariantChecker() = default;

  void Feed(const Event& event) {
    OnEvent(event);
    ++m_index;
  }

  /// Call once, after the last event.
  void Finish() { OnEnd(); }

  const std::vector<Violation>& violations() const { return m_violations; }

 protected:
  virtual void OnEvent(const Event& event) = 0;
  virtual void OnEnd() {}

  void Report(const Event& event, std::string reason) {
    m_violations.push_back(Violation{std::string(m_guarantee), m_index, event, std::move(reason)});
  }

  const Facts& facts() const { return m_facts; }

 private:
  std::string_view m_guarantee;
  const Facts& m_facts;
  std::size_t m_index = 0;
  std::vector<Violation> m_violations;
};

}  // namespace jaymast
