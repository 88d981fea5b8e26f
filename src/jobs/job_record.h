#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "jobs/job.h"

namespace jaymast {

/// Encodes what never changes: queue, organisation and specification.
std::string EncodeJobRecord(const Job& job);

/// Encodes what is left of an ended job: queue, organisation and state.
std::string EncodeFinalRecord(const Job& job);

/// Whether a task of the job has room on an upstream.
bool HasAnyAllocation(const Job& job);

/// Whether the job has ended and nothing of it runs any more.
bool IsSettled(const Job& job);

/// Encodes what changes: runs, failures, upstreams and checkpoints of all tasks.
std::string EncodeProgressRecord(const Job& job);

/// Reads a record of EncodeJobRecord or EncodeFinalRecord.
/// @return the job without progress, or an error with the path of the first bad field
Result<Job> DecodeJobRecord(const JobId& id, std::string_view text);

/// Applies a record of EncodeProgressRecord to a job.
/// @return whether the record was readable and fits the specification
bool ApplyProgressRecord(std::string_view text, Job& job);

/// Creates the steps and tasks of an occurrence that is due.
void OpenOccurrence(Job& job, std::size_t occurrence);

/// Task name as "JOB.OCCURRENCE.STEP.INDEX".
std::string FormatTaskKey(const TaskKey& key);

/// Reads a task name; nothing when it does not have the form of FormatTaskKey.
std::optional<TaskKey> ParseTaskKey(std::string_view text);

}  // namespace jaymast
