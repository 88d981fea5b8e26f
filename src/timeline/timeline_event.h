#pragma once

#include <cstddef>
#include <optional>

#include "core/event.h"
#include "timeline/hybrid_time.h"

namespace jaymast {

/// An event of the merged time line.
struct TimelineEvent {
  Event event;                       ///< as logged, with the time of the process clock
  HybridTime time;                   ///< consistent with the order of causes
  std::optional<std::size_t> cause;  ///< index of the latest cause in another process

  /// The event dated with the hybrid time, for printing and checking.
  Event Dated() const {
    Event dated = event;
    dated.time = time.physical;
    return dated;
  }
};

}  // namespace jaymast
