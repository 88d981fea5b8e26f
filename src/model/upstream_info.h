#pragma once

#include <cstdint>
#include <string>

#include "base/id.h"
#include "base/resources.h"

namespace jaymast {

/// An upstream, an instance whose runner executes tasks, as listed by the platform.
struct UpstreamInfo {
  UpstreamId id;
  DomainId domain;
  std::string rack;
  std::string address;  ///< IP address and port of the runner
  Resources capacity;
  std::int64_t connections = 0;  ///< maximum number of tasks at a time, 0 for no maximum
  bool leaving = false;          ///< takes no new tasks

  friend bool operator==(const UpstreamInfo&, const UpstreamInfo&) = default;
};

}  // namespace jaymast
