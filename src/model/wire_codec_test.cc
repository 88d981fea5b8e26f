#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "model/path.h"
#include "model/runner_codec.h"
#include "model/table_codec.h"

namespace jaymast {
namespace {

/// Checks a property with a fixed seed, so that each run tries the same cases.
template <typename Property>
void CheckWithFixedSeed(const Property& property) {
  rc::detail::TestParams params;
  params.seed = 20'240'902;
  params.maxSuccess = 100;
  const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << result;
}

/// Text with characters that need escapes in JSON and in paths.
std::string Text() { return *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127)); }

std::string Name() {
  std::string name = Text();
  name.resize(name.size() % 32);
  return "n" + name;
}

std::int64_t Number() { return *rc::gen::inRange<std::int64_t>(0, 1'000'000); }

template <typename E>
E AnyOf() {
  return static_cast<E>(*rc::gen::inRange<std::size_t>(0, EnumNames<E>::kNames.size()));
}

template <typename T, typename Make>
std::vector<T> Some(const Make& make) {
  std::vector<T> items;
  const auto count = *rc::gen::inRange<std::size_t>(0, 4);
  items.reserve(count);
  for (std::size_t i = 0; i < count; ++i) items.push_back(make());
  return items;
}

FencingToken Token() { return {EntryId(Name()), Number()}; }
AttemptId Attempt() { return {TaskId(Name()), Number()}; }
Resources Demand() { return {Number(), Number(), *rc::gen::inRange(0, 8), *rc::gen::inRange(1, 8)}; }

TaskSpec Spec() {
  TaskSpec spec;
  spec.id = TaskId(Name());
  spec.team = TeamId(Name());
  spec.kind = Name();
  spec.work_class = AnyOf<WorkClass>();
  spec.semantics = AnyOf<Semantics>();
  spec.demand = Demand();
  spec.declared_run_ms = Number();
  spec.body = Text();
  return spec;
}

UpstreamRequest AnyUpstreamRequest() {
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return FenceRequest{Token()};
    case 1:
      return RunTaskRequest{Token(), Spec(), Number(), EntryId(Name()), Number()};
    case 2:
      return StartTaskRequest{Token(), Spec(), Number(), EntryId(Name()), Text(), Number()};
    case 3:
      return RenewRequest{Token(), Number(), Some<AttemptId>(Attempt), Some<AttemptId>(Attempt)};
    default:
      return StopTaskRequest{Token(), Attempt(), AnyOf<StopMode>()};
  }
}

RunnerTask AnyRunnerTask() {
  return {Attempt(),          EntryId(Name()),          TeamId(Name()), Name(),
          AnyOf<WorkClass>(), AnyOf<Semantics>(),       Demand(),       Demand(),
          Number(),           AnyOf<RunnerTaskState>(), Text()};
}

TableRequest AnyTableRequest() {
  const auto condition = [] { return Condition{Name(), Number()}; };
  const auto write = [] {
    Write write{Name(), std::nullopt};
    if (*rc::gen::arbitrary<bool>()) write.value = Text();
    return write;
  };
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      return Transaction{TransactionId(Name()), Some<Condition>(condition), Some<Write>(write)};
    case 1:
      return ReadRequest{Some<std::string>(Name), Some<std::string>(Name)};
    default:
      return LookupRequest{TransactionId(Name())};
  }
}

// Guards against a field that is left out, swapped or not escaped. Fields have no comparison of their own in the
// protocol, so the second encoding is compared with the first, and the values of one message with the original.
TEST(WireCodecTest, UpstreamRequestsSurviveARoundTrip) {
  CheckWithFixedSeed([] {
    const UpstreamRequest request = AnyUpstreamRequest();
    const HttpCall call = EncodeUpstreamRequest(request);
    const Result<UpstreamRequest> again = DecodeUpstreamRequest(call);
    RC_ASSERT(again.has_value());
    RC_ASSERT(again->index() == request.index());
    RC_ASSERT(EncodeUpstreamRequest(*again) == call);
  });
}

TEST(WireCodecTest, UpstreamRepliesSurviveARoundTrip) {
  CheckWithFixedSeed([] {
    const UpstreamReply reply{AnyOf<CallStatus>(),
                              Text(),
                              Token(),
                              Number(),
                              Number(),
                              AnyOf<RunnerTaskState>(),
                              Text(),
                              Some<RunnerTask>(AnyRunnerTask)};
    const std::string body = EncodeUpstreamReply(reply);
    const Result<UpstreamReply> again = DecodeUpstreamReply(body);
    RC_ASSERT(again.has_value());
    RC_ASSERT(again->output == reply.output);
    RC_ASSERT(again->current == reply.current);
    RC_ASSERT(again->previous_epoch == reply.previous_epoch);
    RC_ASSERT(again->tasks.size() == reply.tasks.size());
    RC_ASSERT(EncodeUpstreamReply(*again) == body);
  });
}

TEST(WireCodecTest, TableRequestsSurviveARoundTrip) {
  CheckWithFixedSeed([] {
    const TableRequest request = AnyTableRequest();
    const HttpCall call = EncodeTableRequest(request);
    const Result<TableRequest> again = DecodeTableRequest(call);
    RC_ASSERT(again.has_value());
    RC_ASSERT(again->index() == request.index());
    RC_ASSERT(EncodeTableRequest(*again) == call);
  });
}

TEST(WireCodecTest, TableRepliesSurviveARoundTrip) {
  CheckWithFixedSeed([] {
    const auto row = [] { return Row{Name(), Text(), Number()}; };
    const ReadReply read{*rc::gen::arbitrary<bool>(), Some<Row>(row)};
    const CommitReply commit{AnyOf<CommitStatus>(), Number()};
    const LookupReply lookup{AnyOf<LookupStatus>(), Number()};
    RC_ASSERT(EncodeReadReply(*DecodeReadReply(EncodeReadReply(read))) == EncodeReadReply(read));
    RC_ASSERT(EncodeCommitReply(*DecodeCommitReply(EncodeCommitReply(commit))) == EncodeCommitReply(commit));
    RC_ASSERT(EncodeLookupReply(*DecodeLookupReply(EncodeLookupReply(lookup))) == EncodeLookupReply(lookup));
  });
}

// Guards against an encoding that is consistent with itself but misses the published names.
TEST(WireCodecTest, MessagesHaveThePublishedForm) {
  const StopTaskRequest stop{{EntryId("e1"), 3}, {TaskId("a/b"), 2}, StopMode::kCheckpoint};
  EXPECT_EQ(EncodeUpstreamRequest(stop),
            (HttpCall{"POST", "/v1/tasks/a%2Fb/checkpoint", R"({"attempt":2,"owner":"e1","epoch":3})"}));
  const Transaction transaction{TransactionId("x"), {{"k", 0}}, {{"k", "v"}, {"old", std::nullopt}}};
  EXPECT_EQ(EncodeTableRequest(transaction).body, R"({"id":"x","conditions":[{"key":"k","version":0}],)"
                                                  R"("writes":[{"key":"k","value":"v"},{"key":"old","delete":true}]})");
  EXPECT_EQ(EncodeTableRequest(LookupRequest{TransactionId("x y")}), (HttpCall{"GET", "/v1/txn/x%20y", ""}));
}

TEST(WireCodecTest, BadInputIsRefusedWithItsPath) {
  const auto runner = [](const char* target, const char* body) {
    return DecodeUpstreamRequest(HttpCall{"POST", target, body}).error();
  };
  EXPECT_EQ(runner("/v1/fence", R"({"epoch":1})").path, "/owner");
  EXPECT_EQ(runner("/v1/fence", R"({"owner":"e","epoch":-1})").path, "/epoch");
  EXPECT_EQ(runner("/v1/renew", R"({"owner":"e","tasks":[{"attempt":1}]})").reason,
            "/tasks/0/task: required and not empty");
  EXPECT_EQ(runner("/v1/renew", R"({"owner":"e","lease_until_ms":9000000000000000000})").path, "/lease_until_ms");
  EXPECT_EQ(runner("/v1/tasks/a/run", R"({"owner":"e","spec":{"id":"b"}})").path, "/spec");
  EXPECT_EQ(runner("/v1/tasks/a/burn", "{}").id, ErrorId::kRouteUnknown);
  EXPECT_EQ(runner("/v1/tasks/%zz/run", "{}").id, ErrorId::kRouteUnknown);
  EXPECT_EQ(runner("/v1/fence", "[").id, ErrorId::kInputSyntax);
  EXPECT_EQ(DecodeTableRequest({"PUT", "/v1/txn", "{}"}).error().id, ErrorId::kRouteUnknown);
  EXPECT_EQ(DecodeTableRequest({"GET", "/v1/txn/", ""}).error().id, ErrorId::kRouteUnknown);
  EXPECT_EQ(DecodeTableRequest({"POST", "/v1/txn", R"({"id":"x","writes":[7]})"}).error().path, "/writes");
}

}  // namespace
}  // namespace jaymast
