#pragma once

#include <functional>
#include <vector>

#include "model/task_spec.h"

namespace jaymast {

/// Gives each gang of one submission an id of its own and sets the size to the number of its members. Members with the
/// same `gang` form one gang, and so do those without. Other tasks stay unchanged.
///
/// @param specs tasks of the submission
/// @param new_id returns a fresh id; called once for each gang, in the order of the first members
void AssignGangs(std::vector<TaskSpec>& specs, const std::function<GangId()>& new_id);

}  // namespace jaymast
