#include "tasks/idempotency.h"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "base/hash.h"
#include "model/codec.h"

namespace jaymast {

std::string IdempotencyRowKey(const TaskSpec& spec) {
  if (spec.idempotency_key.empty()) return "";
  return fmt::format("idem/{}/{}", spec.team.value(), Sha256Hex(spec.idempotency_key));
}

std::string RequestDigest(const TaskSpec& spec) {
  TaskSpec plain = spec;
  plain.id = TaskId();
  plain.gang = GangId();
  return Sha256Hex(boost::json::serialize(ToJson(plain)));
}

}  // namespace jaymast
