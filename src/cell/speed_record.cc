#include "cell/speed_record.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <utility>

#include "base/json_object.h"

namespace jaymast {
namespace {

/// A row of the store holds 64 KiB.
constexpr std::size_t kMaxRowBytes = 60'000;
constexpr std::size_t kEntryBytes = 40;  ///< of the numbers and punctuation of an entry
/// Slowness and variance are written as whole thousandths.
constexpr double kScale = 1000;
/// A factor of 1,000 either way, beyond any plausible speed.
constexpr std::int64_t kMaxSlowness = 7000;
constexpr std::int64_t kMaxVariance = 1000;

}  // namespace

std::string EncodeSpeeds(const std::vector<LearnedSlowness>& speeds) {
  boost::json::object services;
  std::size_t bytes = 0;
  for (const LearnedSlowness& learned : speeds) {
    // A control character takes six bytes.
    bytes += learned.upstream.value().size() * 6 + kEntryBytes;
    if (bytes > kMaxRowBytes) break;
    boost::json::value& service = services[learned.service];
    if (service.is_null()) service = boost::json::object();
    service.as_object()[learned.upstream.value()] =
        boost::json::array{learned.incarnation, std::llround(learned.slowness * kScale),
                           std::max<std::int64_t>(1, std::llround(learned.variance * kScale))};
  }
  return boost::json::serialize(services);
}

std::optional<std::vector<LearnedSlowness>> DecodeSpeeds(std::string_view text) {
  const Result<boost::json::object> services = ParseObject(text, kSpeedsKey);
  if (!services) return std::nullopt;
  std::vector<LearnedSlowness> speeds;
  for (const auto& [service, upstreams] : *services) {
    if (!upstreams.is_object()) return std::nullopt;
    for (const auto& [id, entry] : upstreams.get_object()) {
      if (!entry.is_array() || entry.get_array().size() != 3) return std::nullopt;
      const boost::json::array& numbers = entry.get_array();
      if (!numbers[0].is_int64() || !numbers[1].is_int64() || !numbers[2].is_int64()) return std::nullopt;
      const std::int64_t slowness = numbers[1].get_int64();
      const std::int64_t variance = numbers[2].get_int64();
      if (std::abs(slowness) > kMaxSlowness || variance < 1 || variance > kMaxVariance) return std::nullopt;
      speeds.push_back({std::string(service), UpstreamId(std::string(id)), numbers[0].get_int64(),
                        static_cast<double>(slowness) / kScale, static_cast<double>(variance) / kScale});
    }
  }
  return speeds;
}

}  // namespace jaymast
