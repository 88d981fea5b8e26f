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

/// Class of work, which selects the placement policy.
enum class WorkClass { kPreview, kUrgent, kService, kBatch, kGang };

template <>
struct EnumNames<WorkClass> {
  static constexpr std::array<std::string_view, 5> kNames = {"preview", "urgent", "service", "batch", "gang"};
};

/// What a submitter asks for. The fields do not change after acceptance.
struct TaskSpec {
  TaskId id;
  TeamId team;
  std::string kind;  ///< name of the kind of work, for learned estimates, for example "load-check"
  WorkClass work_class = WorkClass::kBatch;
  Semantics semantics = Semantics::kIdempotent;
  Resources demand;
  std::int64_t declared_run_ms = 0;  ///< run time declared by the submitter in milliseconds, 0 when unknown
  std::string body;                  ///< opaque input, passed to the runner unchanged
  std::string idempotency_key;       ///< empty when the caller gave none
  GangId gang;                       ///< empty unless the task is a member of a gang
  std::int64_t gang_size = 0;        ///< number of members of the gang
  DomainId domain;                   ///< empty, or the only failure domain the task may run in

  friend bool operator==(const TaskSpec&, const TaskSpec&) = default;
};

/// Whether a task survives the loss of the entry that accepted it.
inline bool IsDurable(const TaskSpec& spec) { return spec.work_class != WorkClass::kPreview; }

}  // namespace jaymast
