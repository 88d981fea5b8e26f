#pragma once

#include "base/time.h"

namespace jaymast {

/// Bounds of the platform on acting by what the feeds reported before a change. Each counts from the change.
struct FeedBounds {
  Duration configuration{2'000'000};  ///< until a new version of the configuration is in force
  Duration upstreams{2'000'000};      ///< until an upstream that is about to leave gets no more starts
  Duration domains{5'000'000};        ///< until a failure domain that is out of service gets no more starts
};

}  // namespace jaymast
