#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/resources.h"
#include "jobs/cell_config.h"

namespace jaymast {

/// What an upstream says of itself in the platform's list.
struct UpstreamListing {
  UpstreamId id;
  ServiceId service;
  std::string address;
  DomainId domain;  ///< failure domain
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  std::int64_t incarnation = 0;  ///< time of its start; changes when it starts again under its id
  bool is_draining = false;
};

}  // namespace jaymast
