#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "jobs/job.h"

namespace jaymast {

/// Encodes the immutable part of a job: queue with its settings at acceptance, organisation and specification.
std::string EncodeJobRecord(const Job& job);

/// Encodes an ended job: queue, organisation and state.
std::string EncodeFinalRecord(const Job& job);

/// Whether any task of the job has resources allocated.
bool HasAnyAllocation(const Job& job);

/// Whether the job has ended and none of its tasks has resources allocated.
bool IsSettled(const Job& job);

/// Records are kept below this size, so that a transaction can carry each of them.
inline constexpr std::size_t kMaxRecordBytes = 240'000;

/// Encodes the mutable part of a job: its state, and the progress of the only occurrence or, for a scheduled job, the
/// numbers of its open occurrences. The progress of these is in records of their own.
std::string EncodeProgressRecord(const Job& job);

/// Encodes the progress of one open occurrence: runs, failures, upstreams and checkpoints of all tasks. Checkpoints are
/// omitted if the record would exceed kMaxRecordBytes with them.
std::string EncodeOccurrenceRecord(const Occurrence& occurrence);

/// Decodes a record written by EncodeJobRecord() or EncodeFinalRecord().
/// @return the job without progress, or an error with the path of the first invalid field
Result<Job> DecodeJobRecord(const JobId& id, std::string_view text);

/// Applies a record written by EncodeProgressRecord() to a job.
/// @return whether the record is valid and matches the specification; if not, the job may be partly changed
bool ApplyProgressRecord(std::string_view text, Job& job);

/// Applies a record written by EncodeOccurrenceRecord() to an occurrence that the progress record gives as open.
/// @return as ApplyProgressRecord()
bool ApplyOccurrenceRecord(std::string_view text, Job& job, std::size_t occurrence);

/// Creates the steps and tasks of a due occurrence.
void OpenOccurrence(Job& job, std::size_t occurrence);

/// Formats a task key as "JOB.OCCURRENCE.STEP.INDEX".
std::string FormatTaskKey(const TaskKey& key);

/// Formats the step of a task as JOB.OCCURRENCE.STEP.
std::string FormatStepKey(const TaskKey& key);

/// Parses the format of FormatTaskKey(). Returns nullopt for any other text.
std::optional<TaskKey> ParseTaskKey(std::string_view text);

}  // namespace jaymast
