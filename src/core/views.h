#pragma once

#include <string>

#include "core/request.h"

namespace jaymast {

class EntryNode;

/// Renders one of the read-only views of an entry as a JSON object.
std::string RenderView(const EntryNode& node, View view, const TaskId& task);

}  // namespace jaymast
