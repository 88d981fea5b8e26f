#pragma once

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace jaymast {

/// What the feeds report from the platform's store.
enum class FeedTopic {
  kConfiguration,
  kUpstreams,  ///< the list of upstreams, and which of them are about to leave
  kDomains,    ///< the failure domains that are out of service
};

template <>
struct EnumNames<FeedTopic> {
  static constexpr std::array<std::string_view, 3> kNames = {"configuration", "upstreams", "domains"};
};

}  // namespace jaymast
