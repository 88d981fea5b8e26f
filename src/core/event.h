#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/id.h"
#include "base/time.h"

namespace jaymast {

/// Kinds of timeline events. Their names appear in event logs and are stable.
enum class EventKind {
  kEntryState,        ///< other: the entry; domain; detail: lifecycle state
  kEntryExpired,      ///< other: the expired entry
  kLeaseRenewed,      ///< config_version: acknowledged version
  kOwnerClaimed,      ///< upstream, epoch
  kOwnerFenced,       ///< upstream, epoch; the upstream becomes usable
  kOwnerReleased,     ///< upstream, epoch
  kConfigInstalled,   ///< config_version
  kConfigCommitted,   ///< config_version; detail: plan id
  kConfigAccepted,    ///< config_version
  kRequestReceived,   ///< request, team, config_version; detail: key id
  kReplySent,         ///< request, verdict; detail: status, digest of the body, and error id if any
  kTaskAccepted,      ///< task, team
  kTaskClaimed,       ///< task, attempt, upstream, epoch
  kTaskRetried,       ///< task, attempt; detail: reason
  kTaskEnded,         ///< task, attempt, verdict; detail: state
  kStartSent,         ///< task, attempt, team, upstream, domain, epoch, config_version
  kStartAnswered,     ///< task, attempt, upstream, verdict
  kUpstreamEjected,   ///< upstream; detail: reason
  kUpstreamRestored,  ///< upstream
  kAllotmentChanged,  ///< team, amount
  kKeyRefused,        ///< request, config_version; detail: error id
  kPlanMade,          ///< config_version: base version; detail: plan id
  kRunnerStarted,     ///< emitted by runners; task, attempt, team, upstream, domain, epoch; amount: slots in use
  kRunnerEnded,       ///< emitted by runners; task, attempt, upstream; detail: state
  kRunnerRefused,     ///< emitted by runners; task, attempt, upstream, epoch; detail: reason
  kRunnerFenced,      ///< emitted by runners; upstream, epoch; other: owner
  kFault,             ///< emitted by tests; detail: the injected fault
  kCallerLeft,        ///< request; the caller disconnected before the response
};

template <>
struct EnumNames<EventKind> {
  static constexpr std::array<std::string_view, 28> kNames = {
      "entry_state",       "entry_expired",     "lease_renewed",
      "owner_claimed",     "owner_fenced",      "owner_released",
      "config_installed",  "config_committed",  "config_accepted",
      "request_received",  "reply_sent",        "task_accepted",
      "task_claimed",      "task_retried",      "task_ended",
      "start_sent",        "start_answered",    "upstream_ejected",
      "upstream_restored", "allotment_changed", "key_refused",
      "plan_made",         "runner_started",    "runner_ended",
      "runner_refused",    "runner_fenced",     "fault",
      "caller_left",
  };
};

/// One event of the timeline. Fields that the kind does not use are empty.
struct Event {
  EventKind kind = EventKind::kFault;
  Time time;            ///< on the clock of the emitting process
  std::string process;  ///< name of the emitting process
  TaskId task;
  std::int64_t attempt = 0;
  TeamId team;
  UpstreamId upstream;
  DomainId domain;
  EntryId other;
  std::int64_t epoch = 0;
  std::int64_t config_version = 0;
  std::int64_t amount = 0;
  std::uint64_t request = 0;
  std::string verdict;
  std::string detail;
};

}  // namespace jaymast
