#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/resources.h"
#include "jobs/cell_config.h"

namespace jaymast {

/// Describes an upstream as it registered itself in the platform's list.
struct UpstreamListing {
  UpstreamId id;
  ServiceId service;
  std::string address;
  DomainId domain;  ///< failure domain
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  std::int64_t incarnation = 0;  ///< start time; changes when the upstream restarts under the same id
  bool is_draining = false;
};

}  // namespace jaymast
