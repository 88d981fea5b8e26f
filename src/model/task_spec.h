#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/id.h"
#include "base/resources.h"
#include "base/verdict.h"

namespace jaymast {

/// Class of work, by which the placement policy is selected.
enum class WorkClass { kPreview, kUrgent, kService, kBatch, kGang };

template <>
struct EnumNames<WorkClass> {
  static constexpr std::array<std::string_view, 5> kNames = {"preview", "urgent", "service", "batch", "gang"};
};

/// A task as specified by its submitter. It does not change after acceptance.
struct TaskSpec {
  TaskId id;
  TeamId team;
  std::string kind;  ///< kind of work, by which run times are estimated, for example "load-check"
  WorkClass work_class = WorkClass::kBatch;
  Semantics semantics = Semantics::kIdempotent;
  Resources demand;
  std::int64_t declared_run_ms = 0;  ///< run time declared by the submitter, 0 when unknown
  std::string body;                  ///< opaque input, passed unchanged to the runner
  std::string idempotency_key;       ///< empty when not set by the caller
  GangId gang;                       ///< empty unless the task is a member of a gang
  std::int64_t gang_size = 0;        ///< number of members of the gang
  DomainId domain;                   ///< the only failure domain in which the task may run, or empty for any

  friend bool operator==(const TaskSpec&, const TaskSpec&) = default;
};

/// Whether a task survives a crash of the entry that accepted it.
inline bool IsDurable(const TaskSpec& spec) { return spec.work_class != WorkClass::kPreview; }

}  // namespace jaymast
