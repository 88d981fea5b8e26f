#pragma once

#include <cstdint>
#include <string>

#include "base/id.h"
#include "base/resources.h"

namespace jaymast {

/// An upstream as listed by the platform.
struct UpstreamInfo {
  UpstreamId id;
  DomainId domain;
  std::string rack;
  std::string address;  ///< IP number and port of the runner
  Resources capacity;
  std::int64_t connections = 0;
  bool leaving = false;

  friend bool operator==(const UpstreamInfo&, const UpstreamInfo&) = default;
};

}  // namespace jaymast
