#pragma once

#include <vector>

#include "model/upstream_info.h"

namespace jaymast {

/// The platform's lagging list of live and leaving upstream instances.
struct InstanceList {
  std::vector<UpstreamInfo> upstreams;
};

}  // namespace jaymast
