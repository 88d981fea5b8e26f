#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "model/path.h"
#include "model/runner_codec.h"
#include "model/table_codec.h"

namespace jaymast {
namespace {

/// Checks a property with a fixed seed, so that all runs try the same cases.
template <typename Property>
void CheckWithFixedSeed(const Property& property) {
  rc::detail::TestParams params;
  params.seed = 20'240'902;
  params.maxSuccess = 100;
  const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << result;
}

/// Returns a text with characters that must be escaped in JSON and in paths.
std::string RandomText() { return *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127)); }

std::string RandomName() {
  std::string name = RandomText();
  name.resize(name.size() % 32);
  return "n" + name;
}

std::int64_t RandomNumber() { return *rc::gen::inRange<std::int64_t>(0, 1'000'000); }

template <typename E>
E RandomEnum() {
  return static_cast<E>(*rc::gen::inRange<std::size_t>(0, EnumNames<E>::kNames.size()));
}

template <typename T, typename Make>
std::vector<T> RandomVector(const Make& make) {
  std::vector<T> items;
  const auto count = *rc::gen::inRange<std::size_t>(0, 4);
  items.reserve(count);
  for (std::size_t i = 0; i < count; ++i) items.push_back(make());
  return items;
}

FencingToken RandomToken() { return {EntryId(RandomName()), RandomNumber()}; }
AttemptId RandomAttempt() { return {TaskId(RandomName()), RandomNumber()}; }
Resources RandomDemand() { return {RandomNumber(), RandomNumber(), *rc::gen::inRange(0, 8), *rc::gen::inRange(1, 8)}; }

TaskSpec RandomSpec() {
  TaskSpec spec;
  spec.id = TaskId(RandomName());
  spec.team = TeamId(RandomName());
  spec.kind = RandomName();
  spec.work_class = RandomEnum<WorkClass>();
  spec.semantics = RandomEnum<Semantics>();
  spec.demand = RandomDemand();
  spec.declared_run_ms = RandomNumber();
  spec.body = RandomText();
  return spec;
}

UpstreamRequest RandomUpstreamRequest() {
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return FenceRequest{RandomToken()};
    case 1:
      return RunTaskRequest{RandomToken(), RandomSpec(), RandomNumber(), EntryId(RandomName()), RandomNumber()};
    case 2:
      return StartTaskRequest{RandomToken(),         RandomSpec(), RandomNumber(),
                              EntryId(RandomName()), RandomText(), RandomNumber()};
    case 3:
      return RenewRequest{RandomToken(), RandomNumber(), RandomVector<AttemptId>(RandomAttempt),
                          RandomVector<AttemptId>(RandomAttempt)};
    default:
      return StopTaskRequest{RandomToken(), RandomAttempt(), RandomEnum<StopMode>()};
  }
}

RunnerTask RandomRunnerTask() {
  return {RandomAttempt(),         EntryId(RandomName()),         TeamId(RandomName()), RandomName(),
          RandomEnum<WorkClass>(), RandomEnum<Semantics>(),       RandomDemand(),       RandomDemand(),
          RandomNumber(),          RandomEnum<RunnerTaskState>(), RandomText()};
}

TableRequest RandomTableRequest() {
  const auto condition = [] { return Condition{RandomName(), RandomNumber()}; };
  const auto write = [] {
    Write write{RandomName(), std::nullopt};
    if (*rc::gen::arbitrary<bool>()) write.value = RandomText();
    return write;
  };
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      return Transaction{TransactionId(RandomName()), RandomVector<Condition>(condition), RandomVector<Write>(write)};
    case 1:
      return ReadRequest{RandomVector<std::string>(RandomName), RandomVector<std::string>(RandomName)};
    default:
      return LookupRequest{TransactionId(RandomName())};
  }
}

// Guards against a field that is omitted, swapped or not escaped. The message types have no operator==, so the
// encodings before and after decoding are compared, and single fields of replies.
TEST(WireCodecTest, UpstreamRequestsRoundTripUnchanged) {
  CheckWithFixedSeed([] {
    const UpstreamRequest request = RandomUpstreamRequest();
    const HttpCall call = EncodeUpstreamRequest(request);
    const Result<UpstreamRequest> decoded = DecodeUpstreamRequest(call);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->index() == request.index());
    RC_ASSERT(EncodeUpstreamRequest(*decoded) == call);
  });
}

TEST(WireCodecTest, UpstreamRepliesRoundTripUnchanged) {
  CheckWithFixedSeed([] {
    const UpstreamReply reply{RandomEnum<CallStatus>(),
                              RandomText(),
                              RandomToken(),
                              RandomNumber(),
                              RandomNumber(),
                              RandomEnum<RunnerTaskState>(),
                              RandomText(),
                              RandomVector<RunnerTask>(RandomRunnerTask)};
    const std::string body = EncodeUpstreamReply(reply);
    const Result<UpstreamReply> decoded = DecodeUpstreamReply(body);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->output == reply.output);
    RC_ASSERT(decoded->current == reply.current);
    RC_ASSERT(decoded->previous_epoch == reply.previous_epoch);
    RC_ASSERT(decoded->tasks.size() == reply.tasks.size());
    RC_ASSERT(EncodeUpstreamReply(*decoded) == body);
  });
}

TEST(WireCodecTest, TableRequestsRoundTripUnchanged) {
  CheckWithFixedSeed([] {
    const TableRequest request = RandomTableRequest();
    const HttpCall call = EncodeTableRequest(request);
    const Result<TableRequest> decoded = DecodeTableRequest(call);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->index() == request.index());
    RC_ASSERT(EncodeTableRequest(*decoded) == call);
  });
}

TEST(WireCodecTest, TableRepliesRoundTripUnchanged) {
  CheckWithFixedSeed([] {
    const auto row = [] { return Row{RandomName(), RandomText(), RandomNumber()}; };
    const ReadReply read{*rc::gen::arbitrary<bool>(), RandomVector<Row>(row)};
    const CommitReply commit{RandomEnum<CommitStatus>(), RandomNumber()};
    const LookupReply lookup{RandomEnum<LookupStatus>(), RandomNumber()};
    RC_ASSERT(EncodeReadReply(*DecodeReadReply(EncodeReadReply(read))) == EncodeReadReply(read));
    RC_ASSERT(EncodeCommitReply(*DecodeCommitReply(EncodeCommitReply(commit))) == EncodeCommitReply(commit));
    RC_ASSERT(EncodeLookupReply(*DecodeLookupReply(EncodeLookupReply(lookup))) == EncodeLookupReply(lookup));
  });
}

// Guards against an encoding that decodes correctly but differs from the published format.
TEST(WireCodecTest, MessagesMatchThePublishedFormat) {
  const StopTaskRequest stop{{EntryId("e1"), 3}, {TaskId("a/b"), 2}, StopMode::kCheckpoint};
  EXPECT_EQ(EncodeUpstreamRequest(stop),
            (HttpCall{"POST", "/v1/tasks/a%2Fb/checkpoint", R"({"attempt":2,"owner":"e1","epoch":3})"}));
  const Transaction transaction{TransactionId("x"), {{"k", 0}}, {{"k", "v"}, {"old", std::nullopt}}};
  EXPECT_EQ(EncodeTableRequest(transaction).body, R"({"id":"x","conditions":[{"key":"k","version":0}],)"
                                                  R"("writes":[{"key":"k","value":"v"},{"key":"old","delete":true}]})");
  EXPECT_EQ(EncodeTableRequest(LookupRequest{TransactionId("x y")}), (HttpCall{"GET", "/v1/txn/x%20y", ""}));
}

TEST(WireCodecTest, InvalidInputIsRejectedWithItsPath) {
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
