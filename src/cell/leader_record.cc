#include "cell/leader_record.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <limits>

#include "base/field_reader.h"
#include "base/json_object.h"

namespace jaymast {
namespace {
constexpr std::size_t kMaxAddressBytes = 64;
}  // namespace

std::string EncodeLeaderRecord(const LeaderRecord& record) {
  boost::json::object out;
  out["epoch"] = record.epoch;
  out["sequence"] = record.sequence;
  out["address"] = record.address;
  if (!record.successor.empty()) out["successor"] = record.successor;
  if (record.unready_terms > 0) out["unready_terms"] = record.unready_terms;
  return boost::json::serialize(out);
}

std::optional<LeaderRecord> DecodeLeaderRecord(std::string_view text) {
  const Result<boost::json::object> object = ParseObject(text, "leader");
  if (!object) return std::nullopt;
  FieldReader reader(*object, "leader");
  constexpr std::int64_t kMax = std::numeric_limits<std::int64_t>::max();
  LeaderRecord record;
  record.epoch = static_cast<std::uint64_t>(reader.Int("epoch", 0, 0, kMax));
  record.sequence = static_cast<std::uint64_t>(reader.Int("sequence", 0, 0, kMax));
  record.address = reader.String("address", "", kMaxAddressBytes);
  record.successor = reader.String("successor", "", kMaxAddressBytes);
  record.unready_terms = reader.Int("unready_terms", 0, 0, kMax);
  if (reader.error()) return std::nullopt;
  return record;
}

}  // namespace jaymast
