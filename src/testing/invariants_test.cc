#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "testing/invariants/check_all.h"

namespace jaymast {
namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;

/// Builds one event with the fields that several kinds share.
struct EventAt {
  EventAt(std::int64_t ms, std::string process, EventKind kind) {
    event.time = TimeFromMicros(ms * kMicrosPerMilli);
    event.process = std::move(process);
    event.kind = kind;
  }
  EventAt& Task(const char* task, std::int64_t attempt = 1) {
    event.task = TaskId(task);
    event.attempt = attempt;
    return *this;
  }
  EventAt& At(const char* upstream, std::int64_t epoch = 1) {
    event.upstream = UpstreamId(upstream);
    event.epoch = epoch;
    return *this;
  }
  EventAt& Config(std::int64_t version) {
    event.config_version = version;
    return *this;
  }
  EventAt& Request(RequestId request, const char* verdict = "") {
    event.request = request;
    event.verdict = verdict;
    return *this;
  }
  EventAt& Detail(const char* detail) {
    event.detail = detail;
    return *this;
  }
  operator Event() const { return event; }  // NOLINT(google-explicit-constructor)

  Event event;
};

Event Started(std::int64_t ms, const char* task, const char* upstream, std::int64_t attempt = 1) {
  Event event = EventAt(ms, upstream, EventKind::kRunnerStarted).Task(task, attempt).At(upstream);
  event.team = TeamId("truss");
  return event;
}

Event Ended(std::int64_t ms, const char* task, const char* upstream, std::int64_t attempt = 1) {
  return EventAt(ms, upstream, EventKind::kRunnerEnded).Task(task, attempt).At(upstream).Detail("succeeded");
}

Event Accepted(std::int64_t ms, std::int64_t version) {
  return EventAt(ms, "e1", EventKind::kConfigAccepted).Config(version);
}

Event Received(std::int64_t ms, RequestId request, const char* process = "e1") {
  return EventAt(ms, process, EventKind::kRequestReceived).Request(request);
}

Event Replied(std::int64_t ms, RequestId request, const char* verdict, const char* detail = "200") {
  return EventAt(ms, "e1", EventKind::kReplySent).Request(request, verdict).Detail(detail);
}

class InvariantsTest : public testing::Test {
 protected:
  InvariantsTest() {
    for (const char* name : {"u1", "u2"}) {
      UpstreamInfo info;
      info.id = UpstreamId(name);
      info.domain = DomainId(name == std::string_view("u1") ? "north" : "south");
      info.capacity = Resources{2000, 4096, 0, 2};
      info.connections = 1;
      m_facts.upstreams[info.id] = info;
    }
    ClusterConfig config;
    config.version = 1;
    config.teams[TeamId("truss")] = Team{1, 4};
    config.keys[KeyId("k")] = ApiKey{"", TeamId("truss"), Role::kSubmitter};
    m_facts.configs[1] = config;
  }

  TaskSpec& Spec(const char* task, Semantics semantics = Semantics::kIdempotent) {
    TaskSpec& spec = m_facts.specs[TaskId(task)];
    spec.id = TaskId(task);
    spec.team = TeamId("truss");
    spec.semantics = semantics;
    spec.demand = Resources{1000, 1024, 0, 1};
    return spec;
  }

  ClusterConfig& NextConfig() {
    ClusterConfig next = m_facts.configs.rbegin()->second;
    ++next.version;
    return m_facts.configs[next.version] = next;
  }

  CallerRecord& Caller(RequestId request, const char* body) {
    CallerRecord& record = m_facts.callers[request];
    record.request = request;
    record.asks_for_work = true;
    record.key = KeyId("k");
    record.team = TeamId("truss");
    record.bodies = {body};
    record.marks = {std::string("output of ") + body};
    return record;
  }

  void Answer(CallerRecord& record, const char* body) {
    Response response;
    response.status = 200;
    response.verdict = Verdict::kRan;
    response.raw = true;
    response.body = body;
    record.response = response;
  }

  /// Guarantee ids of the violations found in a log that begins with the commit of version 1.
  std::vector<std::string> Check(const std::vector<Event>& events) const {
    std::vector<Event> log{EventAt(0, "e1", EventKind::kConfigCommitted).Config(1)};
    log.insert(log.end(), events.begin(), events.end());
    std::vector<std::string> found;
    for (const Violation& violation : CheckAllInvariants(m_facts, log)) {
      found.push_back(violation.guarantee.substr(0, violation.guarantee.find(' ')));
    }
    return found;
  }

  Facts m_facts;
};

using Ids = std::vector<std::string>;

// Guards against starts above the capacity of an upstream that go unnoticed.
TEST_F(InvariantsTest, Capacity) {
  for (const char* task : {"a", "b", "c"}) Spec(task);
  const std::vector<Event> two{Started(1, "a", "u1"), Started(2, "b", "u1")};
  EXPECT_EQ(Check({two[0], two[1], Started(3, "c", "u1")}), Ids{"G1"});
  EXPECT_EQ(Check({two[0], two[1], Ended(3, "a", "u1"), Started(3, "c", "u1")}), Ids{});
  m_facts.specs[TaskId("a")].work_class = WorkClass::kPreview;
  EXPECT_EQ(Check(two), Ids{});
  m_facts.specs[TaskId("b")].work_class = WorkClass::kPreview;
  EXPECT_EQ(Check(two), Ids{"G1"}) << "two previews need two connections";
}

// Guards against an exclusive task in two places, under one task id or under one idempotency key.
TEST_F(InvariantsTest, Exclusive) {
  Spec("a", Semantics::kExclusive);
  EXPECT_EQ(Check({Started(1, "a", "u1"), Started(2, "a", "u2", 2)}), Ids{"G2"});
  EXPECT_EQ(Check({Started(1, "a", "u1"), Ended(2, "a", "u1"), Started(2, "a", "u2", 2)}), Ids{});
  Spec("a", Semantics::kExclusive).idempotency_key = "order";
  Spec("b", Semantics::kExclusive).idempotency_key = "order";
  EXPECT_EQ(Check({Started(1, "a", "u1"), Started(2, "b", "u2")}), Ids{"G2"});
}

// Guards against work for a team whose key did not accompany it, and against a revoked key that still works.
TEST_F(InvariantsTest, Keys) {
  Spec("a").body = "x";
  CallerRecord& caller = Caller(1, "x");
  const std::vector<Event> served{Received(1, 1), Started(2, "a", "u1"), Ended(3, "a", "u1"), Replied(4, 1, "ran")};
  EXPECT_EQ(Check(served), Ids{});
  caller.team = TeamId("quilt");
  EXPECT_EQ(Check(served), (Ids{"G3", "G3"})) << "the start and the reply";
  caller.team = TeamId("truss");
  NextConfig().keys.clear();
  const auto serve_at = [](std::int64_t ms) {
    return std::vector<Event>{Accepted(1000, 2), Received(ms, 1), Replied(ms + 1, 1, "ran")};
  };
  EXPECT_EQ(Check(serve_at(3900)), Ids{});
  EXPECT_EQ(Check(serve_at(4100)), Ids{"G3"});
  EXPECT_EQ(Check({Accepted(1000, 2), Received(4100, 1), Replied(4101, 1, "not_run", "401")}), Ids{});
  EXPECT_EQ(Check({Accepted(1000, 2), Replied(4101, 1, "ran")}), Ids{"G3"}) << "served without a receipt";
}

// Guards against a team above its upper limit over all upstreams.
TEST_F(InvariantsTest, Limit) {
  Spec("a");
  Spec("b");
  NextConfig().teams[TeamId("truss")].limit = 1;
  const std::vector<Event> both{Started(10, "a", "u1"), Started(20, "b", "u2")};
  EXPECT_EQ(Check(both), Ids{}) << "version 2 is not committed";
  EXPECT_EQ(Check({Accepted(1, 2), Started(10, "a", "u1"), Started(5000, "b", "u2")}), Ids{"G4"});
  EXPECT_EQ(Check({Accepted(1, 2), Started(10, "a", "u1"), Started(2000, "b", "u2")}), Ids{}) << "within seconds";
  EXPECT_EQ(Check({both[0], both[1], Accepted(30, 2), Ended(5000, "a", "u1")}), Ids{}) << "running tasks may end";
}

// Guards against starts in a failure domain that operators took out of service.
TEST_F(InvariantsTest, DomainOut) {
  Spec("a");
  NextConfig().domains_out_of_service.insert(DomainId("north"));
  EXPECT_EQ(Check({Accepted(1, 2), Started(4000, "a", "u1")}), Ids{"G5"});
  EXPECT_EQ(Check({Accepted(1, 2), Started(4000, "a", "u2")}), Ids{});
  EXPECT_EQ(Check({Accepted(1, 2), Started(2900, "a", "u1")}), Ids{});
  NextConfig().domains_out_of_service.clear();
  const Event returned = EventAt(3500, "e2", EventKind::kConfigCommitted).Config(3);
  EXPECT_EQ(Check({Accepted(1, 2), returned, Started(4000, "a", "u1")}), Ids{}) << "the domain is back";
}

// Guards against missing, repeated, truncated and crossed responses.
TEST_F(InvariantsTest, Answers) {
  Answer(Caller(1, "x"), "output of x");
  Answer(Caller(2, "y"), "output of y");
  Spec("a").body = "x";
  Spec("b").body = "y";
  m_facts.outputs[TaskId("a")] = "output of x";
  m_facts.outputs[TaskId("b")] = "output of y";
  const std::vector<Event> both{Received(1, 1), Received(2, 2), Replied(3, 2, "ran"), Replied(4, 1, "ran")};
  EXPECT_EQ(Check(both), Ids{});
  EXPECT_EQ(Check({both[0], both[1], both[2]}), Ids{"G6"}) << "no response";
  EXPECT_EQ(Check({both[0], both[1], both[2], both[3], Replied(5, 3, "ran")}), Ids{"G6"}) << "no such request";
  EXPECT_EQ(Check({both[0], both[1], both[2], both[3], both[3]}), Ids{"G6"}) << "two responses";
  Answer(m_facts.callers[1], "output of");
  EXPECT_EQ(Check(both), Ids{"G6"}) << "truncated";
  Answer(m_facts.callers[1], "output of y");
  EXPECT_EQ(Check(both), (Ids{"G6", "G6"})) << "of another request";
  Answer(m_facts.callers[1], R"({"tasks":[{"state":"succeeded","output":"output of x"}]})");
  m_facts.callers[1].response->raw = false;
  EXPECT_EQ(Check(both), Ids{});
  m_facts.callers[1].response->body = R"({"tasks":[{"state":"succeeded","output":"output"}]})";
  EXPECT_EQ(Check(both), Ids{"G6"}) << "truncated inside a list";
  m_facts.callers[1].closed = true;
  EXPECT_EQ(Check({both[0], both[1], both[2]}), Ids{}) << "the caller saw the connection close";
  m_facts.callers[1].closed = false;
  Event left = EventAt(3, "e1", EventKind::kCallerLeft);
  left.request = 1;
  EXPECT_EQ(Check({both[0], both[1], both[2], left}), Ids{}) << "the caller left before the answer";
  Event other = left;
  other.request = 2;
  EXPECT_EQ(Check({both[0], both[1], both[2], other}), Ids{"G6"}) << "another caller left";
}

// Guards against "not run" for work that ran.
TEST_F(InvariantsTest, Verdict) {
  Spec("a").body = "x";
  Caller(1, "x");
  const Event refused = EventAt(5, "e1", EventKind::kStartAnswered).Task("a").At("u1").Request(0, "not_run");
  const Event ended = EventAt(6, "e1", EventKind::kTaskEnded).Task("a").Request(0, "not_run");
  const Event received = Received(1, 1);
  EXPECT_EQ(Check({received, Started(2, "a", "u1"), Replied(9, 1, "not_run", "503")}), Ids{"G7"});
  EXPECT_EQ(Check({received, Started(2, "a", "u1"), Replied(9, 1, "may_have_run", "504")}), Ids{});
  EXPECT_EQ(Check({received, Replied(2, 1, "not_run", "202"), Started(9, "a", "u1")}), Ids{}) << "accepted";
  EXPECT_EQ(Check({received, Started(2, "a", "u1"), refused, Replied(9, 1, "ran")}), Ids{"G7"});
  EXPECT_EQ(Check({received, refused, Started(7, "a", "u1"), Replied(9, 1, "ran")}), Ids{"G7"}) << "late start";
  EXPECT_EQ(Check({received, refused, Started(7, "a", "u2"), Replied(9, 1, "ran")}), Ids{}) << "another upstream";
  EXPECT_EQ(Check({received, Started(2, "a", "u1"), ended, Replied(9, 1, "ran")}), Ids{"G7"});
  Caller(2, "x");
  const std::vector<Event> retried{received, Replied(2, 1, "not_run", "503"), Received(3, 2), Started(4, "a", "u1"),
                                   Replied(5, 2, "ran")};
  EXPECT_EQ(Check(retried), Ids{}) << "the second request for the same work was served";
}

// Guards against a second start of an order, also under a second task id.
TEST_F(InvariantsTest, AtMostOnce) {
  Spec("a", Semantics::kAtMostOnce);
  const std::vector<Event> once{Started(1, "a", "u1"), Ended(2, "a", "u1")};
  EXPECT_EQ(Check({once[0], once[1], Started(3, "a", "u2", 2)}), Ids{"G8"});
  Spec("b", Semantics::kAtMostOnce);
  EXPECT_EQ(Check({once[0], once[1], Started(3, "b", "u2")}), Ids{});
  Spec("a", Semantics::kAtMostOnce).idempotency_key = "order";
  Spec("b", Semantics::kAtMostOnce).idempotency_key = "order";
  EXPECT_EQ(Check({once[0], once[1], Started(3, "b", "u2")}), Ids{"G8"});
}

// Guards against new work at an upstream after its owner was told that it leaves.
TEST_F(InvariantsTest, Leaving) {
  Spec("a");
  Event fenced = EventAt(1, "e1", EventKind::kOwnerFenced).At("u1");
  m_facts.leaving_told[{UpstreamId("u1"), "e1"}] = TimeFromMicros(100 * kMicrosPerMilli);
  EXPECT_EQ(Check({fenced, Started(3200, "a", "u1")}), Ids{"G9"});
  EXPECT_EQ(Check({fenced, Started(3000, "a", "u1")}), Ids{});
  fenced.process = "e2";
  EXPECT_EQ(Check({fenced, Started(3200, "a", "u1")}), Ids{}) << "another entry owns it";
  NextConfig().upstreams_out_of_service.insert(UpstreamId("u2"));
  EXPECT_EQ(Check({Accepted(1, 2), Started(4000, "a", "u2")}), Ids{"G9"}) << "taken out by the configuration";
}

// Guards against a planned stop that drops requests or lets task leases lapse.
TEST_F(InvariantsTest, GracefulStop) {
  Spec("a");
  Caller(1, "x").closed = true;
  const Event draining = EventAt(2, "e1", EventKind::kEntryState).Detail("draining");
  const Event stopped = EventAt(9, "e1", EventKind::kEntryState).Detail("stopped");
  EXPECT_EQ(Check({Received(1, 1), draining, Replied(5, 1, "ran"), stopped}), Ids{});
  EXPECT_EQ(Check({Received(1, 1), draining, stopped}), Ids{"G10"});
  EXPECT_EQ(Check({Received(1, 1), draining, Replied(5, 1, "not_run", "503"), stopped}), Ids{"G10"});
  EXPECT_EQ(Check({draining, Received(3, 1), Replied(5, 1, "not_run", "503"), stopped}), Ids{}) << "sent later";
  const Event unknown = Replied(5, 1, "may_have_run", "503 0 jaymast.outcome.unknown");
  const Event not_serving = Replied(5, 1, "not_run", "503 0 jaymast.entry.not-serving");
  const Event store_slow = EventAt(0, "session", EventKind::kFault);
  EXPECT_EQ(Check({Received(1, 1), draining, unknown, stopped}), Ids{"G10"});
  EXPECT_EQ(Check({store_slow, Received(1, 1), draining, not_serving, stopped}), Ids{"G10"});
  EXPECT_EQ(Check({store_slow, Received(1, 1), draining, unknown, stopped}), Ids{"G10"}) << "must be a timeout";
  const Event store_down = Replied(5, 1, "not_run", "503 0 jaymast.store.unavailable");
  EXPECT_EQ(Check({store_slow, Received(1, 1), draining, store_down, stopped}), Ids{}) << "the store is down";
  EXPECT_EQ(Check({Received(1, 1), draining, store_down, stopped}), Ids{"G10"});
  Event left = EventAt(4, "e1", EventKind::kCallerLeft);
  left.request = 1;
  EXPECT_EQ(Check({Received(1, 1), draining, left, stopped}), Ids{}) << "the caller left";
  const Event owned = EventAt(0, "e1", EventKind::kOwnerFenced).At("u1");
  Event lapsed = Ended(6, "a", "u1");
  lapsed.detail = "lapsed";
  EXPECT_EQ(Check({owned, Started(1, "a", "u1"), draining, lapsed, stopped}), Ids{"G10"});
  EXPECT_EQ(Check({owned, Started(1, "a", "u1"), draining, Ended(6, "a", "u1"), stopped}), Ids{});
}

// Guards against a process that returns to an older configuration or keeps it after the acceptance of a newer one.
TEST_F(InvariantsTest, Configuration) {
  NextConfig();
  const auto installed = [](std::int64_t ms, const char* process, std::int64_t version) {
    return Event(EventAt(ms, process, EventKind::kConfigInstalled).Config(version));
  };
  const auto start = [](std::int64_t ms, const char* process, std::int64_t version) {
    return Event(EventAt(ms, process, EventKind::kStartSent).Config(version));
  };
  EXPECT_EQ(Check({installed(1, "e1", 2), installed(2, "e1", 1)}), Ids{"G11"});
  EXPECT_EQ(Check({installed(1, "e1", 2), installed(2, "e2", 1)}), Ids{});
  EXPECT_EQ(Check({Accepted(1, 2), start(2000, "e2", 1)}), Ids{});
  EXPECT_EQ(Check({Accepted(1, 2), start(4000, "e2", 1)}), Ids{"G11"});
  EXPECT_EQ(Check({Accepted(1, 3)}), Ids{"G11"}) << "the table has no version 3";
  const Event committed = EventAt(1, "e1", EventKind::kConfigCommitted).Config(2);
  EXPECT_EQ(Check({committed, committed}), Ids{"G11"}) << "two operators committed the same version";
}

}  // namespace
}  // namespace jaymast
