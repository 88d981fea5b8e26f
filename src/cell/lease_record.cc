#include "cell/lease_record.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "base/json_object.h"

namespace jaymast {

std::string EncodeLeaseBounds(const LeaseBounds& bounds) {
  boost::json::object out;
  for (const auto& [upstream, end_ms] : bounds) out[upstream.value()] = end_ms;
  return boost::json::serialize(out);
}

std::optional<LeaseBounds> DecodeLeaseBounds(std::string_view text) {
  const Result<boost::json::object> object = ParseObject(text, kLeaseKey);
  if (!object) return std::nullopt;
  LeaseBounds bounds;
  for (const auto& [upstream, end_ms] : *object) {
    if (!end_ms.is_int64()) return std::nullopt;
    bounds[UpstreamId(std::string(upstream))] = end_ms.get_int64();
  }
  return bounds;
}

}  // namespace jaymast
