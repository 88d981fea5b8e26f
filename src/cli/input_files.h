#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "cli/located_document.h"
#include "model/intent.h"
#include "model/task_spec.h"

namespace jaymast {

/// Largest accepted input file in bytes.
inline constexpr std::size_t kMaxInputFileBytes = 16U << 20U;

/// Reads a whole file. The name "-" stands for standard input.
Result<std::string> ReadInputFile(const std::string& file);

/// Intents of a file with [[intent]] tables. The fields of a table are those of the JSON of an intent.
/// @return at least one intent, or an error with file, line and key
Result<std::vector<Intent>> IntentsFromDocument(const LocatedDocument& document);

/// Tasks of a file with [[task]] tables. The fields of a table are those of the JSON of a task.
/// @return at least one task, or an error with file, line and key
Result<std::vector<TaskSpec>> TasksFromDocument(const LocatedDocument& document);

}  // namespace jaymast
