#include "tasks/submission_gangs.h"

#include <cstdint>
#include <map>

namespace jaymast {

void AssignGangs(std::vector<TaskSpec>& specs, const std::function<GangId()>& new_id) {
  std::map<GangId, GangId> ids;
  std::map<GangId, std::int64_t> sizes;
  for (TaskSpec& spec : specs) {
    if (spec.work_class != WorkClass::kGang) continue;
    if (!ids.contains(spec.gang)) ids[spec.gang] = new_id();
    spec.gang = ids[spec.gang];
    ++sizes[spec.gang];
  }
  for (TaskSpec& spec : specs) {
    if (spec.work_class == WorkClass::kGang) spec.gang_size = sizes[spec.gang];
  }
}

}  // namespace jaymast
