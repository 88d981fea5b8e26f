#include "jobs/job_record.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace jaymast {
namespace {

Job ExampleJob() {
  Job job;
  job.id = JobId("5c0e7a21d94b36f8");
  job.queue = QueueId("q");
  job.accepted_queue.service = ServiceId("s");
  job.accepted_queue.max_attempts = 4;
  job.accepted_queue.stretch = 2.2;
  job.accepted_queue.policy = PolicyConfig{450, 6.5, 2500};
  job.team = TeamId("t");
  job.call_id = "c-1";
  job.recorded_at_ms = 1234;
  job.spec.payload = "text \"with\" quotes";
  StepSpec first;
  first.task_count = 2;
  first.demand = Resources{1500, 256, 1, 0};
  first.estimate_ms = 900;
  first.is_gang = true;
  first.required_label = "a";
  StepSpec second;
  second.task_count = 3;
  second.dependencies = {0};
  second.checkpoints = true;
  second.max_per_upstream = 2;
  job.spec.steps = {first, second};
  OpenOccurrence(job, 0);
  return job;
}

// Guards against fields that are lost when a new leader decodes the record.
TEST(JobRecordTest, JobAndProgressRoundTrip) {
  Job job = ExampleJob();
  job.state = JobState::kRunning;
  job.has_started = true;
  TaskState& task = job.occurrences[0].steps[0].tasks[1];
  task.phase = TaskPhase::kRunning;
  task.run = 3;
  task.failures = 1;
  task.upstream = UpstreamId("u1");
  task.checkpoint = "00ff";
  Result<Job> read = DecodeJobRecord(job.id, EncodeJobRecord(job));
  ASSERT_TRUE(read) << read.error().path;
  ASSERT_TRUE(ApplyProgressRecord(EncodeProgressRecord(job), *read));
  EXPECT_EQ(read->queue, job.queue);
  EXPECT_EQ(read->accepted_queue.service, ServiceId("s"));
  EXPECT_EQ(read->accepted_queue.max_attempts, 4);
  EXPECT_DOUBLE_EQ(read->accepted_queue.stretch, 2.2);
  ASSERT_TRUE(read->accepted_queue.policy);
  EXPECT_DOUBLE_EQ(read->accepted_queue.policy->per_upstream_ms, 6.5);
  EXPECT_EQ(read->team, job.team);
  EXPECT_EQ(read->call_id, job.call_id);
  EXPECT_EQ(read->spec.payload, job.spec.payload);
  ASSERT_EQ(read->spec.steps.size(), 2U);
  EXPECT_EQ(read->spec.steps[0].demand, job.spec.steps[0].demand);
  EXPECT_TRUE(read->spec.steps[0].is_gang);
  EXPECT_EQ(read->spec.steps[0].required_label, "a");
  EXPECT_EQ(read->spec.steps[1].dependencies, std::vector<std::size_t>{0});
  EXPECT_TRUE(read->spec.steps[1].checkpoints);
  EXPECT_EQ(read->spec.steps[1].max_per_upstream, 2);
  EXPECT_EQ(read->state, JobState::kRunning);
  const TaskState& read_task = read->occurrences[0].steps[0].tasks[1];
  EXPECT_EQ(read_task.phase, TaskPhase::kRunning);
  EXPECT_EQ(read_task.run, 3);
  EXPECT_EQ(read_task.failures, 1);
  EXPECT_EQ(read_task.upstream, UpstreamId("u1"));
  EXPECT_EQ(read_task.checkpoint, "00ff");
  EXPECT_EQ(read->occurrences[0].steps[0].waiting, 1);
}

// Guards against ended jobs whose specification takes up space in the store and in memory.
TEST(JobRecordTest, EndedJobKeepsOnlyItsState) {
  Job job = ExampleJob();
  job.state = JobState::kCompleted;
  const Result<Job> read = DecodeJobRecord(job.id, EncodeFinalRecord(job));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->state, JobState::kCompleted);
  EXPECT_TRUE(read->spec.steps.empty());
}

// Guards against restarting an ended job after a takeover if its job record was not yet replaced.
TEST(JobRecordTest, FinalProgressEndsJob) {
  Job job = ExampleJob();
  Result<Job> read = DecodeJobRecord(job.id, EncodeJobRecord(job));
  ASSERT_TRUE(read);
  job.state = JobState::kCancelled;
  ASSERT_TRUE(ApplyProgressRecord(EncodeProgressRecord(job), *read));
  EXPECT_EQ(read->state, JobState::kCancelled);
  EXPECT_FALSE(HasAnyAllocation(*read));
  job.occurrences.clear();
  Result<Job> again = DecodeJobRecord(job.id, EncodeJobRecord(ExampleJob()));
  ASSERT_TRUE(ApplyProgressRecord(EncodeProgressRecord(job), *again));
  EXPECT_EQ(again->state, JobState::kCancelled);
}

// Guards against occurrences of a scheduled job that a new leader opens again, forgets or never opens.
TEST(JobRecordTest, OpenOccurrencesRoundTrip) {
  Job job = ExampleJob();
  job.spec.repeat_count = std::int64_t{1} << 53;
  job.state = JobState::kRunning;
  OpenOccurrence(job, 1);
  OpenOccurrence(job, 2);
  job.occurrences.at(1).is_done = true;
  job.occurrences.at(2).steps[1].tasks[2].run = 7;
  Result<Job> read = DecodeJobRecord(job.id, EncodeJobRecord(job));
  ASSERT_TRUE(read) << read.error().path;
  ASSERT_TRUE(ApplyProgressRecord(EncodeProgressRecord(job), *read));
  EXPECT_EQ(read->next_occurrence, 3U);
  ASSERT_EQ(read->occurrences.size(), 2U);
  ASSERT_TRUE(ApplyOccurrenceRecord(EncodeOccurrenceRecord(job.occurrences.at(2)), *read, 2));
  EXPECT_EQ(read->occurrences.at(2).steps[1].tasks[2].run, 7);
  EXPECT_FALSE(ApplyOccurrenceRecord(EncodeOccurrenceRecord(job.occurrences.at(1)), *read, 1)) << "has ended";
}

// Guards against progress of scheduled jobs that an instance of an earlier version wrote in one record.
TEST(JobRecordTest, ProgressOfEarlierVersionIsRead) {
  Job job;
  job.id = JobId("job1");
  job.spec.steps.resize(1);
  job.spec.repeat_count = 4;
  ASSERT_TRUE(ApplyProgressRecord(R"({"s":"running","b":true,"o":[1,[[false,0,[[3,1,0,"u1"]]]],0,0]})", job));
  EXPECT_EQ(job.next_occurrence, 2U);
  ASSERT_EQ(job.occurrences.size(), 1U);
  EXPECT_EQ(job.occurrences.at(1).steps[0].tasks[0].upstream, UpstreamId("u1"));
}

// Guards against a record above the size that a transaction carries.
TEST(JobRecordTest, CheckpointsThatExceedTheRecordAreOmitted) {
  Job job;
  job.spec.steps.resize(1);
  job.spec.steps[0].task_count = 1'000;
  OpenOccurrence(job, 0);
  for (TaskState& task : job.occurrences.at(0).steps[0].tasks) {
    task.phase = TaskPhase::kRunning;
    task.upstream = UpstreamId(std::string(200, 'u'));
    task.checkpoint = std::string(100, 'c');
  }
  EXPECT_LE(EncodeProgressRecord(job).size(), kMaxRecordBytes);
  EXPECT_LE(EncodeOccurrenceRecord(job.occurrences.at(0)).size(), kMaxRecordBytes);
  EXPECT_TRUE(ApplyProgressRecord(EncodeProgressRecord(job), job));
}

// Guards against a crash on bytes that another version wrote.
RC_GTEST_PROP(JobRecordTest, ArbitraryBytesAreDecodedOrRejected, (const std::string& text)) {
  Job job = ExampleJob();
  ApplyProgressRecord(text, job);
  ApplyOccurrenceRecord(text, job, 0);
  DecodeJobRecord(job.id, text);
  ParseTaskKey(text);
}

// Guards against progress that does not match the specification, for example with more steps.
TEST(JobRecordTest, MismatchedProgressIsRejected) {
  Job job = ExampleJob();
  const std::string text = EncodeProgressRecord(job);
  job.spec.steps.pop_back();
  EXPECT_FALSE(ApplyProgressRecord(text, job));
}

// Guards against task keys that are parsed as those of another task.
TEST(JobRecordTest, TaskKeysRoundTrip) {
  const TaskKey key{JobId("5c0e7a21d94b36f8"), 2, 1, 17};
  EXPECT_EQ(FormatTaskKey(key), "5c0e7a21d94b36f8.2.1.17");
  EXPECT_EQ(ParseTaskKey("5c0e7a21d94b36f8.2.1.17"), key);
  for (const char* bad : {"", "a", "a.1.2", "a.1.2.x", ".1.2.3", "a.1.2.3 "}) EXPECT_FALSE(ParseTaskKey(bad)) << bad;
}

}  // namespace
}  // namespace jaymast
