#pragma once

#include "base/id.h"
#include "core/effects.h"
#include "core/entry_settings.h"
#include "core/timers.h"

namespace jaymast {

/// Holds what all components of one entry share. The referenced objects outlive the components.
struct Context {
  const EntrySettings& settings;
  Effects& effects;
  Timers& timers;
  EntryId self;

  Time Now() const { return effects.Now(); }

  /// Runs the callback once, `delay` from now.
  void After(Duration delay, Timers::Callback callback) { timers.At(Now() + delay, std::move(callback)); }

  /// Returns a random duration from 0.5 to 1.5 times `delay`, so that entries do not retry at the same time.
  Duration Jittered(Duration delay) {
    constexpr std::int64_t kSteps = 1024;
    const auto step = static_cast<std::int64_t>(effects.Random() % kSteps);
    return delay / 2 + delay * step / kSteps;
  }
};

}  // namespace jaymast
