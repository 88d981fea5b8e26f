#include "placement/admission_queue.h"

#include <gtest/gtest.h>

#include <chrono>
#include <random>
#include <set>
#include <string>

#include "placement/fair_share.h"
#include "placement/test_cluster.h"

namespace jaymast {
namespace {

using std::chrono::seconds;

constexpr Time kStart = TimeFromMicros(1'000'000);

WaitingTask Waiting(const std::string& id, WorkClass work_class, const std::string& team, Time since) {
  WaitingTask task;
  task.spec = TestTask(id, work_class, {1'000, 1'024, 0, 1});
  task.spec.team = TeamId(team);
  task.id = {task.spec.id, 1};
  task.since = since;
  task.deadline = Time::max();
  return task;
}

std::vector<std::string> OrderOfDispatch(AdmissionQueue& queue, Time now) {
  std::vector<std::string> order;
  queue.Dispatch(now, [&](const WaitingTask& task) {
    order.push_back(task.id.task.value());
    return true;
  });
  return order;
}

TEST(AdmissionQueueTest, ServesByClassThenShareThenAge) {
  FairShare shares;
  shares.SetCapacity({32'000, 32'768, 0, 32});
  shares.AddUsage(TeamId("busy"), {8'000, 8'192, 0, 8}, kStart);
  AdmissionQueue queue(shares, 100);
  queue.Push(Waiting("batch-busy", WorkClass::kBatch, "busy", kStart));
  queue.Push(Waiting("batch-idle-2", WorkClass::kBatch, "idle", kStart + seconds(2)));
  queue.Push(Waiting("batch-idle-1", WorkClass::kBatch, "idle", kStart + seconds(1)));
  queue.Push(Waiting("gang", WorkClass::kGang, "busy", kStart + seconds(3)));
  queue.Push(Waiting("service", WorkClass::kService, "busy", kStart + seconds(3)));
  queue.Push(Waiting("urgent", WorkClass::kUrgent, "busy", kStart + seconds(3)));
  queue.Push(Waiting("preview", WorkClass::kPreview, "busy", kStart + seconds(3)));
  const std::vector<std::string> expected = {"preview",      "urgent",       "service",   "gang",
                                             "batch-idle-1", "batch-idle-2", "batch-busy"};
  EXPECT_EQ(OrderOfDispatch(queue, kStart + seconds(4)), expected);
  EXPECT_EQ(queue.size(), 0U);
}

/// Guards against rounds whose cost grows with the length of the queue.
TEST(AdmissionQueueTest, OffersPerRoundAreBounded) {
  FairShare shares;
  AdmissionQueue queue(shares, 100'000);
  for (int i = 0; i < 20'000; ++i) {
    WaitingTask task = Waiting(std::to_string(i), WorkClass::kBatch, "t" + std::to_string(i % 150), kStart);
    task.spec.demand.cpu_millis = 100'000 - i;
    queue.Push(std::move(task));
  }
  std::size_t offers = 0;
  const OfferReport report = queue.Offer(kStart, [&](const WaitingTask&) {
    ++offers;
    return OfferOutcome::kNoCapacity;
  });
  EXPECT_FALSE(report.blocked.empty());
  EXPECT_LE(offers, AdmissionQueue::kMaxFailedOffersPerRank);
  EXPECT_EQ(queue.size(), 20'000U);
}

/// Guards against a large task that blocks smaller ones of its team, and a team limit that blocks other teams.
TEST(AdmissionQueueTest, BlockedTasksDoNotBlockSmallerTasksOrOtherTeams) {
  FairShare shares;
  AdmissionQueue queue(shares, 100);
  WaitingTask large = Waiting("large", WorkClass::kBatch, "a", kStart);
  large.spec.demand.cpu_millis = 30'000;
  queue.Push(std::move(large));
  queue.Push(Waiting("small", WorkClass::kBatch, "a", kStart + seconds(1)));
  queue.Push(Waiting("limited", WorkClass::kBatch, "b", kStart));
  queue.Push(Waiting("other", WorkClass::kBatch, "c", kStart));
  std::vector<std::string> placed;
  const OfferReport report = queue.Offer(kStart, [&](const WaitingTask& task) {
    if (task.spec.team == TeamId("b")) return OfferOutcome::kRefused;
    if (task.spec.demand.cpu_millis > 10'000) return OfferOutcome::kNoCapacity;
    placed.push_back(task.id.task.value());
    return OfferOutcome::kPlaced;
  });
  EXPECT_EQ(placed, (std::vector<std::string>{"other", "small"}));
  ASSERT_EQ(report.blocked.size(), 1U);
  EXPECT_EQ(report.blocked.front().task, TaskId("large"));
  queue.Prefer(report.blocked.front());
  queue.Push(Waiting("late", WorkClass::kPreview, "a", kStart));
  EXPECT_EQ(OrderOfDispatch(queue, kStart).front(), "large");
}

/// Guards against starvation of gangs and batch work by a steady flow of tasks of higher classes.
TEST(AdmissionQueueTest, OldWorkIsNotStarvedByHigherClasses) {
  for (const WorkClass starved : {WorkClass::kGang, WorkClass::kBatch}) {
    FairShare shares;
    shares.SetCapacity({32'000, 32'768, 0, 32});
    AdmissionQueue queue(shares, 10'000);
    queue.Push(Waiting("old", starved, "starved", kStart));
    bool served = false;
    Time now = kStart;
    for (int i = 0; i < 900 && !served; ++i) {
      now += seconds(1);
      queue.Push(Waiting("s" + std::to_string(i), WorkClass::kService, "flood", now));
      bool full = false;
      queue.Dispatch(now, [&](const WaitingTask& task) {
        if (full) return false;
        full = true;
        served = served || task.id.task == TaskId("old");
        shares.AddUsage(task.spec.team, task.spec.demand, now);
        return true;
      });
    }
    EXPECT_TRUE(served);
  }
}

TEST(AdmissionQueueTest, ShedsTasksThatCannotMeetTheirDeadline) {
  FairShare shares;
  AdmissionQueue queue(shares, 10);
  for (int i = 0; i < 9; ++i) queue.Push(Waiting(std::to_string(i), WorkClass::kBatch, "a", kStart));
  queue.Dispatch(kStart, [n = 0](const WaitingTask&) mutable { return n++ < 2; });
  WaitingTask late = Waiting("late", WorkClass::kBatch, "a", kStart);
  late.deadline = kStart + seconds(2);
  queue.Push(std::move(late));
  WaitingTask cannot_finish = Waiting("cannot-finish", WorkClass::kBatch, "a", kStart);
  cannot_finish.finish_by = kStart + seconds(11);
  queue.Push(std::move(cannot_finish));
  for (int i = 20; i < 21; ++i) queue.Push(Waiting(std::to_string(i), WorkClass::kBatch, "a", kStart));
  EXPECT_EQ(queue.size(), 10U);
  // The queue is full, two tasks have left it, and the late task has seven before it.
  EXPECT_TRUE(queue.Push(Waiting("new", WorkClass::kBatch, "a", kStart + seconds(1))));
  const auto expired = queue.TakeExpired(kStart + seconds(1));
  ASSERT_EQ(expired.size(), 2U);
  EXPECT_EQ(expired[0].id.task, TaskId("late"));
  EXPECT_EQ(expired[1].id.task, TaskId("cannot-finish"));
}

/// Guards against dangling pointers to removed tasks when the placement callback changes the queue.
TEST(AdmissionQueueTest, CallbackMayChangeTheQueue) {
  FairShare shares;
  std::mt19937_64 random(3);
  AdmissionQueue queue(shares, 1'000);
  std::set<std::string> present;
  const auto push = [&](int i) {
    const std::string team = "t" + std::to_string(random() % 5);
    if (queue.Push(Waiting(std::to_string(i), static_cast<WorkClass>(random() % 5), team, kStart))) {
      present.insert(std::to_string(i));
    }
  };
  for (int i = 0; i < 300; ++i) push(i);
  for (int round = 0; round < 200; ++round) {
    queue.Dispatch(kStart + seconds(round), [&](const WaitingTask& task) {
      const std::string id = task.id.task.value();
      EXPECT_TRUE(present.contains(id));
      const auto action = random() % 4;
      if (action == 0) push(static_cast<int>(random() % 300));
      const std::string victim = action == 1 ? id : std::to_string(random() % 300);
      if (action <= 2) {
        queue.Erase({TaskId(victim), 1});
        present.erase(victim);
      }
      const bool takes = action == 3 && random() % 8 == 0;
      if (takes) present.erase(id);
      return takes;
    });
    EXPECT_EQ(queue.size(), present.size());
  }
}

}  // namespace
}  // namespace jaymast
