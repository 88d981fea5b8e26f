#include "cell/page_sizer.h"

#include <algorithm>

namespace jaymast {
namespace {

/// A page that took less than this share of the time limit may be followed by one of twice the size.
constexpr int kGrowBelowDivisor = 2;
/// A page that took more than three quarters of the time limit is followed by a smaller one.
constexpr int kShrinkAboveNumerator = 3;
constexpr int kShrinkAboveDivisor = 4;
constexpr std::size_t kGrowth = 2;
/// Other transfers on the link may have caused the timeout, so a page that timed out shrinks by more than it grew.
constexpr std::size_t kShrinkAfterTimeout = 4;

}  // namespace

void PageSizer::OnPage(Duration taken) {
  const Duration timeout = m_limits.timeout;
  if (taken < timeout / kGrowBelowDivisor) {
    m_limits.max_rows = std::min(kMaxRows, m_limits.max_rows * kGrowth);
    m_limits.timeout = std::max(kMinTimeout, timeout / 2);
  } else if (taken > timeout * kShrinkAboveNumerator / kShrinkAboveDivisor) {
    m_limits.max_rows = std::max<std::size_t>(1, m_limits.max_rows / kGrowth);
  }
}

void PageSizer::OnFailure(Duration taken) {
  if (taken < m_limits.timeout / 2) return;
  if (m_limits.max_rows == 1) m_limits.timeout = std::min(kMaxTimeout, m_limits.timeout * 2);
  m_limits.max_rows = std::max<std::size_t>(1, m_limits.max_rows / kShrinkAfterTimeout);
}

}  // namespace jaymast
