#pragma once

#include "base/time.h"

namespace jaymast {

/// Faults that can be injected into the fake table service and object store.
struct TableFaults {
  bool outage = false;        ///< requests are neither executed nor answered
  bool lose_answers = false;  ///< requests are executed but not answered
  Duration latency{};         ///< delay before each answer

  friend bool operator==(const TableFaults&, const TableFaults&) = default;
};

}  // namespace jaymast
