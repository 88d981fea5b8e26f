#pragma once

#include "base/id.h"
#include "core/effects.h"
#include "core/entry_settings.h"
#include "core/timers.h"

namespace jaymast {

/// What every slice of one entry shares. The referenced objects outlive the slices.
struct Context {
  const EntrySettings& settings;
  Effects& effects;
  Timers& timers;
  EntryId self;

  Time Now() const { return effects.Now(); }

  /// Runs the callback once, `delay` from now.
  void After(Duration delay, Timers::Callback callback) { timers.At(Now() + delay, std::move(callback)); }

  /// A span of time between half of `delay` and one and a half times it, so that retries of many entries spread.
  Duration Jittered(Duration delay) {
    constexpr std::int64_t kSteps = 1024;
    const auto step = static_cast<std::int64_t>(effects.Random() % kSteps);
    return delay / 2 + delay * step / kSteps;
  }
};

}  // namespace jaymast
