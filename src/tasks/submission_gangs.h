#pragma once

#include <functional>
#include <vector>

#include "model/task_spec.h"

namespace jaymast {

/// Assigns a unique id and the number of members to each gang of a submission. Members with equal `gang` form one gang,
/// and so do all members whose `gang` is empty. Other tasks are unchanged.
///
/// @param specs tasks of the submission
/// @param new_id returns a new id; called once for each gang, in the order of the first members
void AssignGangs(std::vector<TaskSpec>& specs, const std::function<GangId()>& new_id);

}  // namespace jaymast
