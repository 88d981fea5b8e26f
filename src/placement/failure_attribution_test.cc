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

UpstreamId Upstream(int number) { return TestUpstream(number).id; }

/// Guards against upstreams quarantined for faulty jobs, and jobs failed for faulty upstreams, when both occur at once.
TEST(FailureAttributionTest, DistinguishesFaultyUpstreamsFromFaultyJobs) {
  FailureAttribution attribution;
  std::mt19937_64 random(17);
  constexpr int kUpstreams = 20;
  constexpr int kJobs = 2'000;
  const auto is_faulty_upstream = [](int upstream) { return upstream < 3; };
  const auto is_faulty_job = [](int job) { return job % 10 == 0; };
  Time now = kStart;
  int starts_on_faulty = 0;
  for (int job = 0; job < kJobs; ++job) {
    for (bool done = false; !done && !attribution.IsFaultyJob(Job(job).id);) {
      now += std::chrono::milliseconds(50);
      const int upstream = static_cast<int>(random() % kUpstreams);
      if (!attribution.MayStart(Upstream(upstream), now)) continue;
      starts_on_faulty += is_faulty_upstream(upstream) ? 1 : 0;
      attribution.OnStart(Upstream(upstream), now);
      done = !is_faulty_upstream(upstream) && !is_faulty_job(job);
      attribution.OnResult(Upstream(upstream), Job(job), done, now);
    }
  }
  for (int upstream = 0; upstream < kUpstreams; ++upstream) {
    EXPECT_EQ(attribution.QuarantinedUntil(Upstream(upstream)).has_value(), is_faulty_upstream(upstream)) << upstream;
  }
  for (int job = 0; job < kJobs; ++job) EXPECT_EQ(attribution.IsFaultyJob(Job(job).id), is_faulty_job(job)) << job;
  EXPECT_LT(starts_on_faulty, 60);
}

/// Guards against bursts of starts on a quarantined upstream, and against a quarantine that never ends.
TEST(FailureAttributionTest, ProbesAtDoublingIntervalsUntilOneSucceeds) {
  FailureAttribution attribution;
  int job = 0;
  for (int i = 0; i < 20; ++i) attribution.OnResult(Upstream(1 + i % 4), Job(job++), true, kStart);
  for (int i = 0; i < 3; ++i) attribution.OnResult(Upstream(0), Job(job++), false, kStart);
  Time now = kStart;
  for (const int expected : {10, 20, 40, 80, 160, 320, 600, 600}) {
    ASSERT_EQ(attribution.QuarantinedUntil(Upstream(0)), now + seconds(expected));
    attribution.OnResult(Upstream(0), Job(job++), true, now);  // the task started before the quarantine
    EXPECT_FALSE(attribution.MayStart(Upstream(0), now + seconds(expected) - seconds(1)));
    now += seconds(expected);
    EXPECT_TRUE(attribution.MayStart(Upstream(0), now));
    attribution.OnStart(Upstream(0), now);
    EXPECT_FALSE(attribution.MayStart(Upstream(0), now + seconds(1)));
    EXPECT_TRUE(attribution.MayStart(Upstream(0), now + FailureAttribution::kProbeTimeout));
    now += seconds(1);
    attribution.OnResult(Upstream(0), Job(job++), false, now);
  }
  now = *attribution.QuarantinedUntil(Upstream(0));
  attribution.OnStart(Upstream(0), now);
  attribution.OnResult(Upstream(0), Job(job++), true, now);
  EXPECT_FALSE(attribution.QuarantinedUntil(Upstream(0)));
  EXPECT_TRUE(attribution.MayStart(Upstream(0), now));
}

/// Guards against quarantine of the whole cluster when a kind of work fails everywhere.
TEST(FailureAttributionTest, KindThatFailsEverywhereQuarantinesNoUpstream) {
  FailureAttribution attribution;
  for (int job = 0; job < 200; ++job) attribution.OnResult(Upstream(job % 10), Job(job), false, kStart);
  for (int upstream = 0; upstream < 10; ++upstream) EXPECT_FALSE(attribution.QuarantinedUntil(Upstream(upstream)));
}

}  // namespace
}  // namespace jaymast
