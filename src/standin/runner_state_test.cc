#include "standin/runner_state.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>

#include "base/hash.h"
#include "standin/task_profile.h"

namespace jaymast {
namespace {

constexpr std::int64_t kSlots = 4;
const FencingToken kFirst{EntryId("e1"), 1};
const FencingToken kSecond{EntryId("e2"), 2};

Time At(std::int64_t millis) { return Time(std::chrono::milliseconds(millis)); }

RunnerSettings Settings() {
  RunnerSettings settings;
  settings.name = "runner-1";
  settings.upstream = UpstreamId("u1");
  settings.domain = DomainId("d1");
  settings.capacity = Resources{4000, 4096, 1, kSlots};
  settings.connections = 2;
  settings.max_finished = 3;
  return settings;
}

TaskSpec Spec(const std::string& id, std::int64_t run_ms) {
  TaskSpec spec;
  spec.id = TaskId(id);
  spec.team = TeamId("desk");
  spec.demand = Resources{1000, 64, 0, 1};
  spec.declared_run_ms = run_ms;
  spec.body = "body of " + id;
  return spec;
}

class RunnerStateTest : public ::testing::Test {
 protected:
  UpstreamReply Fence(const FencingToken& token, std::int64_t ms) {
    return m_runner.Handle(FenceRequest{token}, At(ms));
  }
  UpstreamReply Start(const std::string& id, std::int64_t attempt, std::int64_t lease_ms, std::int64_t ms,
                      const FencingToken& token = kFirst) {
    return m_runner.Handle(StartTaskRequest{token, Spec(id, 100), attempt, EntryId("e1"), "", lease_ms}, At(ms));
  }
  UpstreamReply Stop(const std::string& id, StopMode mode, std::int64_t ms) {
    return m_runner.Handle(StopTaskRequest{kFirst, {TaskId(id), 1}, mode}, At(ms));
  }
  std::variant<UpstreamReply, RunnerState::RunToken> Run(const std::string& id, std::int64_t ms) {
    return m_runner.StartRun(RunTaskRequest{kFirst, Spec(id, 100), 1, EntryId("e1"), 1000}, At(ms));
  }

  std::vector<Event> m_events;
  RunnerState m_runner{Settings(), [this](const Event& event) { m_events.push_back(event); }};
};

// Guards against two owners that both start tasks on one runner.
TEST_F(RunnerStateTest, OnlyTheOwnerWithTheHighestEpochIsServed) {
  EXPECT_EQ(Start("t1", 1, 500, 0).status, CallStatus::kRefused);
  EXPECT_EQ(Fence(kFirst, 0).status, CallStatus::kOk);
  EXPECT_EQ(Start("t1", 1, 500, 0).status, CallStatus::kOk);
  const UpstreamReply rival = Fence({EntryId("e9"), 1}, 1);
  EXPECT_EQ(rival.status, CallStatus::kRefused);
  EXPECT_EQ(rival.current, kFirst);
  const UpstreamReply fenced = Fence(kSecond, 1);
  ASSERT_EQ(fenced.tasks.size(), 1U);
  EXPECT_EQ(fenced.tasks[0].state, RunnerTaskState::kRunning);
  EXPECT_EQ(Start("t2", 1, 500, 2).status, CallStatus::kRefused);
  EXPECT_EQ(Fence(kFirst, 2).current, kSecond);
  EXPECT_EQ(Start("t2", 1, 500, 2, kSecond).status, CallStatus::kOk);
}

// Guards against an exclusive task that goes on after its owner may have restarted it elsewhere.
TEST_F(RunnerStateTest, LapsedTaskIsStoppedBeforeALaterRequest) {
  Fence(kFirst, 0);
  Start("t1", 1, 50, 0);
  EXPECT_EQ(m_runner.NextDeadline(), At(50));
  const RenewRequest late{kFirst, 200, {{TaskId("t1"), 1}}, {}};
  const UpstreamReply reply = m_runner.Handle(late, At(50));
  ASSERT_EQ(reply.tasks.size(), 1U);
  EXPECT_EQ(reply.tasks[0].state, RunnerTaskState::kExpired);
  EXPECT_EQ(m_events.back().kind, EventKind::kRunnerEnded);
  EXPECT_EQ(m_events.back().detail, "lapsed");
}

// Guards against the loss of a result whose report did not arrive.
TEST_F(RunnerStateTest, ResultIsReportedUntilItIsAcknowledged) {
  Fence(kFirst, 0);
  Start("t1", 1, 500, 0);
  const RenewRequest renew{kFirst, 500, {{TaskId("t1"), 1}}, {}};
  m_runner.Handle(renew, At(150));
  const UpstreamReply again = m_runner.Handle(renew, At(160));
  ASSERT_EQ(again.tasks.size(), 1U);
  EXPECT_EQ(again.tasks[0].output, TaskOutput(TaskId("t1"), "body of t1"));
  EXPECT_EQ(again.tasks[0].run_ms, 100);
  const RenewRequest acknowledge{kFirst, 500, {}, {{TaskId("t1"), 1}}};
  EXPECT_TRUE(m_runner.Handle(acknowledge, At(170)).tasks.empty());
}

// Guards against a second run of an attempt whose start was sent twice or was delayed.
TEST_F(RunnerStateTest, AttemptStartsAtMostOnce) {
  Fence(kFirst, 0);
  EXPECT_EQ(Start("t1", 1, 500, 0).result, RunnerTaskState::kRunning);
  EXPECT_EQ(Start("t1", 1, 500, 10).status, CallStatus::kOk);
  EXPECT_EQ(Start("t1", 2, 500, 10).status, CallStatus::kRefused);
  EXPECT_EQ(Start("t1", 1, 500, 150).result, RunnerTaskState::kSucceeded);
  EXPECT_EQ(Start("t1", 2, 500, 150).status, CallStatus::kOk);
  EXPECT_EQ(Start("t3", 1, 150, 150).status, CallStatus::kRefused);
  EXPECT_EQ(Stop("t4", StopMode::kStop, 160).status, CallStatus::kOk);
  EXPECT_EQ(Start("t4", 1, 500, 170).status, CallStatus::kRefused);
  EXPECT_EQ(m_runner.running_count(), 1U);
}

TEST_F(RunnerStateTest, RunCallIsAnsweredWithTheWholeOutputWhenItsTaskEnds) {
  Fence(kFirst, 0);
  const auto started = Run("t1", 0);
  ASSERT_TRUE(std::holds_alternative<RunnerState::RunToken>(started));
  EXPECT_TRUE(m_runner.Advance(At(99)).empty());
  const std::vector<RunnerState::RunCompletion> done = m_runner.Advance(At(100));
  ASSERT_EQ(done.size(), 1U);
  EXPECT_EQ(done[0].token, std::get<RunnerState::RunToken>(started));
  EXPECT_EQ(done[0].reply.output, Sha256Hex("body of t1") + ":t1:body of t1");
  EXPECT_EQ(std::get<UpstreamReply>(Run("t1", 101)).status, CallStatus::kUnknown);
  EXPECT_EQ(std::get<UpstreamReply>(Run("t2", 1001)).status, CallStatus::kRefused);
}

// Guards against more than the capacity of an instance, and against results that pile up without bound.
TEST_F(RunnerStateTest, CapacityConnectionsAndResultsAreBounded) {
  Fence(kFirst, 0);
  Run("a", 0);
  Run("b", 0);
  EXPECT_EQ(std::get<UpstreamReply>(Run("c", 0)).reason, "connections in use");
  Start("d", 1, 500, 0);
  Start("e", 1, 500, 0);
  EXPECT_EQ(Start("f", 1, 500, 0).reason, "capacity in use");
  Start("g", 1, 500, 110);
  EXPECT_EQ(Start("h", 1, 500, 220).reason, "too many unread results");
}

TEST_F(RunnerStateTest, StopCheckpointAndThrottleChangeTheEnd) {
  Fence(kFirst, 0);
  Start("a", 1, 900, 0);
  Start("b", 1, 900, 0);
  EXPECT_EQ(Stop("a", StopMode::kCheckpoint, 40).result, RunnerTaskState::kCheckpointed);
  EXPECT_EQ(Stop("b", StopMode::kThrottle, 50).result, RunnerTaskState::kRunning);
  const UpstreamReply report = m_runner.Handle(RenewRequest{kFirst, 900, {}, {}}, At(60));
  ASSERT_EQ(report.tasks.size(), 2U);
  EXPECT_EQ(report.tasks[0].usage.cpu_millis, 500);
  const StartTaskRequest resume{kFirst, Spec("a", 100), 2, EntryId("e1"), report.tasks[1].output, 900};
  m_runner.Handle(resume, At(60));
  EXPECT_EQ(m_runner.NextDeadline(), At(120));
  m_runner.Advance(At(120));
  EXPECT_EQ(m_runner.NextDeadline(), At(150));
}

TEST_F(RunnerStateTest, FaultsApplyToTasksThatStartLater) {
  Fence(kFirst, 0);
  RunnerFaults faults;
  faults.slow = 3;
  faults.usage_lag = std::chrono::milliseconds(20);
  m_runner.SetFaults(faults);
  Start("a", 1, 900, 0);
  EXPECT_EQ(Fence(kFirst, 10).tasks[0].usage, Resources{});
  EXPECT_EQ(Fence(kFirst, 20).tasks[0].usage, Spec("a", 1).demand);
  EXPECT_EQ(m_runner.NextDeadline(), At(300));
  faults.hang = true;
  m_runner.SetFaults(faults);
  EXPECT_EQ(m_runner.NextDeadline(), At(900));
  m_runner.Advance(At(400));
  EXPECT_EQ(m_runner.running_count(), 1U);
  faults = RunnerFaults{};
  faults.fail = true;
  m_runner.SetFaults(faults);
  Start("b", 1, 900, 410);
  const UpstreamReply report = m_runner.Handle(RenewRequest{kFirst, 900, {}, {}}, At(450));
  ASSERT_EQ(report.tasks.size(), 2U);
  EXPECT_EQ(report.tasks[0].state, RunnerTaskState::kSucceeded);
  EXPECT_EQ(report.tasks[1].state, RunnerTaskState::kFailed);
}

// Guards against memory that grows with the number of tasks ever run.
TEST_F(RunnerStateTest, EndedAttemptsAreForgottenAfterTheRetention) {
  Fence(kFirst, 0);
  Run("a", 0);
  m_runner.Advance(At(100));
  EXPECT_EQ(m_runner.known_count(), 1U);
  m_runner.Advance(At(100 + 61'000));
  EXPECT_EQ(m_runner.known_count(), 0U);
}

/// Follows the events of a runner and fails when it exceeds its slots or starts an attempt twice.
class EventWatcher {
 public:
  void Watch(const Event& event) {
    const std::pair<std::string, std::int64_t> attempt{event.task.value(), event.attempt};
    if (event.kind == EventKind::kRunnerStarted) {
      RC_ASSERT(m_started.insert(attempt).second);
      RC_ASSERT(m_running.insert(event.task.value()).second);
      RC_ASSERT(event.amount == static_cast<std::int64_t>(m_running.size()));
      RC_ASSERT(event.amount <= kSlots);
    }
    if (event.kind == EventKind::kRunnerEnded) RC_ASSERT(m_running.erase(event.task.value()) == 1U);
    if (event.kind == EventKind::kRunnerFenced) RC_ASSERT(event.epoch > m_epoch);
    if (event.kind == EventKind::kRunnerFenced) m_epoch = event.epoch;
    RC_ASSERT(event.time >= m_time);
    m_time = event.time;
  }

 private:
  std::set<std::pair<std::string, std::int64_t>> m_started;
  std::set<std::string> m_running;
  std::int64_t m_epoch = 0;
  Time m_time;
};

/// Most requests are of the owner, because a runner that refuses nearly all of them would test little.
FencingToken RandomToken(const FencingToken& owner) {
  if (owner.epoch > 0 && *rc::gen::inRange(0, 8) > 0) return owner;
  return {EntryId("e" + std::to_string(*rc::gen::inRange(1, 3))), owner.epoch + *rc::gen::inRange(-1, 3)};
}

UpstreamRequest RandomRequest(const FencingToken& owner, std::int64_t now_ms) {
  const FencingToken token = RandomToken(owner);
  const AttemptId id{TaskId("t" + std::to_string(*rc::gen::inRange(0, 20))), *rc::gen::inRange(1, 4)};
  const TaskSpec spec = Spec(id.task.value(), *rc::gen::inRange(1, 200));
  const std::int64_t until_ms = now_ms + *rc::gen::inRange(-20, 200);
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      return FenceRequest{token};
    case 1:
      return RunTaskRequest{token, spec, id.attempt, token.owner, until_ms};
    case 2:
      return RenewRequest{token, until_ms, {id}, {}};
    case 3:
      return StopTaskRequest{token, id, static_cast<StopMode>(*rc::gen::inRange(0, 3))};
    default:
      return StartTaskRequest{token, spec, id.attempt, token.owner, "", until_ms};
  }
}

// Guards against a sequence of requests, late or repeated, that breaks capacity, fencing or single starts.
TEST(RunnerStateProperty, AnySequenceKeepsCapacityFencingAndSingleStarts) {
  rc::detail::TestParams params;
  params.seed = 20'240'901;
  params.maxSuccess = 200;
  const auto result = rc::detail::checkTestable(
      [] {
        EventWatcher watcher;
        RunnerSettings settings = Settings();
        settings.max_finished = 1000;
        RunnerState runner(settings, [&watcher](const Event& event) { watcher.Watch(event); });
        std::int64_t now_ms = 0;
        for (int i = 0; i < 60; ++i) {
          now_ms += *rc::gen::inRange(0, 20);
          const UpstreamRequest request = RandomRequest(runner.owner(), now_ms);
          const auto* run = std::get_if<RunTaskRequest>(&request);
          if (run != nullptr) runner.StartRun(*run, At(now_ms));
          if (run == nullptr) runner.Handle(request, At(now_ms));
          RC_ASSERT(runner.used().FitsIn(Settings().capacity));
          RC_ASSERT(runner.used().slots == static_cast<std::int64_t>(runner.running_count()));
        }
      },
      rc::detail::TestMetadata(), params);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << result;
}

}  // namespace
}  // namespace jaymast
