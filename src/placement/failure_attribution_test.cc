#include "placement/failure_attribution.h"

#include <gtest/gtest.h>

#include <chrono>
#include <random>
#include <string>

#include "placement/test_cluster.h"

namespace jaymast {
namespace {

using std::chrono::seconds;

constexpr Time kStart = TimeFromMicros(0);

TaskSpec Job(int number) { return TestTask("j" + std::to_string(number), WorkClass::kBatch, {1'000, 1'024, 0, 1}); }

UpstreamId Worker(int number) { return TestWorker(number).id; }

/// Guards against good workers quarantined for bad jobs and against jobs failed for bad workers, with both at once.
TEST(FailureAttributionTest, TellsBadWorkersFromBadJobs) {
  FailureAttribution attribution;
  std::mt19937_64 random(17);
  constexpr int kWorkers = 20;
  constexpr int kJobs = 2'000;
  const auto is_bad_worker = [](int worker) { return worker < 3; };
  const auto is_bad_job = [](int job) { return job % 10 == 0; };
  Time now = kStart;
  int starts_on_bad = 0;
  for (int job = 0; job < kJobs; ++job) {
    for (bool done = false; !done && !attribution.IsFaultyJob(Job(job).id);) {
      now += std::chrono::milliseconds(50);
      const int worker = static_cast<int>(random() % kWorkers);
      if (!attribution.MayStart(Worker(worker), now)) continue;
      starts_on_bad += is_bad_worker(worker) ? 1 : 0;
      attribution.OnStart(Worker(worker), now);
      done = !is_bad_worker(worker) && !is_bad_job(job);
      attribution.OnResult(Worker(worker), Job(job), done, now);
    }
  }
  for (int worker = 0; worker < kWorkers; ++worker) {
    EXPECT_EQ(attribution.QuarantinedUntil(Worker(worker)).has_value(), is_bad_worker(worker)) << worker;
  }
  for (int job = 0; job < kJobs; ++job) EXPECT_EQ(attribution.IsFaultyJob(Job(job).id), is_bad_job(job)) << job;
  EXPECT_LT(starts_on_bad, 60);
}

/// Guards against bursts of starts on a quarantined worker, and against a quarantine that never ends.
TEST(FailureAttributionTest, ProbesAtDoublingIntervalsUntilOneSucceeds) {
  FailureAttribution attribution;
  int job = 0;
  for (int i = 0; i < 20; ++i) attribution.OnResult(Worker(1 + i % 4), Job(job++), true, kStart);
  for (int i = 0; i < 3; ++i) attribution.OnResult(Worker(0), Job(job++), false, kStart);
  Time now = kStart;
  for (const int expected : {10, 20, 40, 80, 160, 320, 600, 600}) {
    ASSERT_EQ(attribution.QuarantinedUntil(Worker(0)), now + seconds(expected));
    attribution.OnResult(Worker(0), Job(job++), true, now);  // started before the quarantine
    EXPECT_FALSE(attribution.MayStart(Worker(0), now + seconds(expected) - seconds(1)));
    now += seconds(expected);
    EXPECT_TRUE(attribution.MayStart(Worker(0), now));
    attribution.OnStart(Worker(0), now);
    EXPECT_FALSE(attribution.MayStart(Worker(0), now + seconds(1)));
    EXPECT_TRUE(attribution.MayStart(Worker(0), now + FailureAttribution::kProbeTimeout));
    now += seconds(1);
    attribution.OnResult(Worker(0), Job(job++), false, now);
  }
  now = *attribution.QuarantinedUntil(Worker(0));
  attribution.OnStart(Worker(0), now);
  attribution.OnResult(Worker(0), Job(job++), true, now);
  EXPECT_FALSE(attribution.QuarantinedUntil(Worker(0)));
  EXPECT_TRUE(attribution.MayStart(Worker(0), now));
}

/// Guards against quarantine of the whole cluster when a kind of work is broken everywhere.
TEST(FailureAttributionTest, KindThatFailsEverywhereQuarantinesNoWorker) {
  FailureAttribution attribution;
  for (int job = 0; job < 200; ++job) attribution.OnResult(Worker(job % 10), Job(job), false, kStart);
  for (int worker = 0; worker < 10; ++worker) EXPECT_FALSE(attribution.QuarantinedUntil(Worker(worker)));
}

}  // namespace
}  // namespace jaymast
