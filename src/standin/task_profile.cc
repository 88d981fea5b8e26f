#include "standin/task_profile.h"

#include <boost/json.hpp>

#include "base/field_reader.h"
#include "base/hash.h"
#include "model/codec.h"

namespace jaymast {
namespace {

constexpr std::int64_t kMaxRunMs = 365LL * 24 * 3600 * 1000;
constexpr std::int64_t kMaxOutputBytes = 1LL << 20;
constexpr std::int64_t kAbsent = -1;

}  // namespace

TaskProfile ReadTaskProfile(const std::string& body) {
  if (!body.starts_with('{')) return {};
  const Result<boost::json::object> object = ParseObject(body, "");
  if (!object) return {};
  FieldReader reader(*object, "");
  TaskProfile profile;
  const std::int64_t run_ms = reader.Int("run_ms", kAbsent, 0, kMaxRunMs);
  if (run_ms != kAbsent) profile.run_ms = run_ms;
  profile.fail = reader.Bool("fail", false);
  profile.output_bytes = reader.Int("output_bytes", 0, 0, kMaxOutputBytes);
  if (reader.error()) return {};
  return profile;
}

std::string TaskOutput(const TaskId& task, const std::string& body) {
  std::string output = Sha256Hex(body) + ":" + task.value() + ":" + body;
  const auto least_size = static_cast<std::size_t>(ReadTaskProfile(body).output_bytes);
  if (output.size() < least_size) output.resize(least_size, '.');
  return output;
}

}  // namespace jaymast
