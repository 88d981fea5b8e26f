#pragma once

#include <cstddef>

#include "base/time.h"

namespace jaymast {

/// Size and time limit of one page of a paged read.
struct PageLimits {
  std::size_t max_rows = 0;
  Duration timeout{};
};

/// Adapts the pages of a paged read to what the link to the store carries.
///
/// A page that is given up and requested again in full never completes on a link that is too slow for it. So after a
/// timeout the page gets smaller, and once it is as small as possible its time limit grows.
class PageSizer {
 public:
  const PageLimits& limits() const { return m_limits; }

  /// @param taken time from the request to the reply
  void OnPage(Duration taken);
  /// The page was refused or got no reply in time. A refusal says nothing about the size.
  /// @param taken time from the request to the failure
  void OnFailure(Duration taken);

  /// Limit of the store.
  static constexpr std::size_t kMaxRows = 500;
  /// Time limit while pages arrive in time.
  static constexpr Duration kMinTimeout{900'000};
  /// A row is at most 64 KiB, which takes this long on a link that carries 75 kbit/s.
  static constexpr Duration kMaxTimeout{7'200'000};

 private:
  /// A row of the record log is up to 32 KiB, so the first page takes 0.3 s on a link of 10 Mbit/s.
  static constexpr std::size_t kInitialRows = 8;

  PageLimits m_limits{kInitialRows, kMinTimeout};
};

}  // namespace jaymast
