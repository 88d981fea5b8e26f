#pragma once

#include <array>
#include <string>
#include <string_view>

#include "base/enum_names.h"

namespace jaymast {

/// Stable ids of errors. Names appear in answers, logs and docs/operations.md and do not change between versions.
enum class ErrorId {
  kNone,
  kInputSyntax,
  kInputField,
  kInputTooLarge,
  kKeyMissing,
  kKeyUnknown,
  kKeyRole,
  kTeamMismatch,
  kTeamUnknown,
  kDemandImpossible,
  kQueueFull,
  kDeadlineExceeded,
  kLimitReached,
  kNoCapacity,
  kStoreUnavailable,
  kNotServing,
  kIdempotencyMismatch,
  kPlanUnknown,
  kPlanConflict,
  kTaskUnknown,
  kTaskCancelled,
  kTaskFailed,
  kOutcomeUnknown,
  kOwnerChanged,
  kUpstreamFailed,
  kDomainOutOfService,
  kRetryBudget,
  kRouteUnknown,
};

template <>
struct EnumNames<ErrorId> {
  static constexpr std::array<std::string_view, 28> kNames = {
      "jaymast.none",
      "jaymast.input.syntax",
      "jaymast.input.field",
      "jaymast.input.too-large",
      "jaymast.key.missing",
      "jaymast.key.unknown",
      "jaymast.key.role",
      "jaymast.team.mismatch",
      "jaymast.team.unknown",
      "jaymast.demand.impossible",
      "jaymast.queue.full",
      "jaymast.deadline.exceeded",
      "jaymast.limit.reached",
      "jaymast.capacity.none",
      "jaymast.store.unavailable",
      "jaymast.entry.not-serving",
      "jaymast.idempotency.mismatch",
      "jaymast.plan.unknown",
      "jaymast.plan.conflict",
      "jaymast.task.unknown",
      "jaymast.task.cancelled",
      "jaymast.task.failed",
      "jaymast.outcome.unknown",
      "jaymast.owner.changed",
      "jaymast.upstream.failed",
      "jaymast.domain.out",
      "jaymast.retry.budget",
      "jaymast.route.unknown",
  };
};

/// An error with a stable id, the path of the offending field or object, and a reason for people.
struct Error {
  ErrorId id = ErrorId::kNone;
  std::string path;
  std::string reason;

  friend bool operator==(const Error&, const Error&) = default;
};

}  // namespace jaymast
