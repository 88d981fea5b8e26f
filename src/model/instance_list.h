#pragma once

#include <vector>

#include "model/upstream_info.h"

namespace jaymast {

/// The platform's list of live and leaving upstreams. It lags behind the actual state.
struct InstanceList {
  std::vector<UpstreamInfo> upstreams;
};

}  // namespace jaymast
