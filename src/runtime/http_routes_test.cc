#include "runtime/http_routes.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "model/codec.h"
#include "net/problem.h"
#include "testing/property_check.h"

namespace jaymast {
namespace {

constexpr Time kNow = TimeFromMicros(5'000'000);
constexpr std::chrono::milliseconds kPreviewDeadline{2'000};

Result<Request> Map(const std::string& method, const std::string& target, const std::string& body = "",
                    HttpHeaders headers = {{"authorization", "bearer secret"}}) {
  return RequestFromHttp(HttpRequest{method, target, std::move(headers), body}, kNow, kPreviewDeadline);
}

template <typename T>
T Get(Result<Request> request) {
  EXPECT_TRUE(request) << request.error().path << ": " << request.error().reason;
  EXPECT_TRUE(std::holds_alternative<T>(*request));
  return std::get<T>(*request);
}

std::string PathOf(const Result<Request>& request) { return request ? "no error" : request.error().path; }

TEST(HttpRoutesTest, ConvertsAPreview) {
  const auto preview = Get<PreviewRequest>(Map("POST", "/v1/previews", R"({"team":"desk","body":"span"})"));
  EXPECT_EQ(preview.secret, "secret");
  EXPECT_EQ(preview.spec.work_class, WorkClass::kPreview);
  EXPECT_EQ(preview.spec.body, "span");
  EXPECT_EQ(preview.deadline, kNow + kPreviewDeadline);
  const auto urgent = Get<PreviewRequest>(Map("POST", "/v1/previews", "{}", {{"Jaymast-Deadline-Ms", "150"}}));
  EXPECT_EQ(urgent.deadline, kNow + std::chrono::milliseconds(150));
  EXPECT_EQ(urgent.secret, "");
}

TEST(HttpRoutesTest, ConvertsSubmissions) {
  const HttpHeaders headers = {{"Idempotency-Key", "order-7"}};
  const auto one = Get<SubmitRequest>(Map("POST", "/v1/tasks", R"({"team":"desk","wait_ms":20})", headers));
  ASSERT_EQ(one.specs.size(), 1U);
  EXPECT_EQ(one.specs[0].idempotency_key, "order-7");
  EXPECT_EQ(one.wait_until, kNow + std::chrono::milliseconds(20));
  const std::string body = R"({"tasks":[{"team":"a"},{"team":"b","idempotency_key":"own"}],"wait_ms":0})";
  const auto many = Get<SubmitRequest>(Map("POST", "/v1/tasks", body, headers));
  ASSERT_EQ(many.specs.size(), 2U);
  EXPECT_EQ(many.specs[0].idempotency_key, "order-7#0");
  EXPECT_EQ(many.specs[1].idempotency_key, "own");
  EXPECT_EQ(many.wait_until, kNow);
}

TEST(HttpRoutesTest, ConvertsTheOtherRoutes) {
  const auto status = Get<TaskStatusRequest>(Map("GET", "/v1/tasks/t%2F1?x=1&wait_ms=30"));
  EXPECT_EQ(status.task, TaskId("t/1"));
  EXPECT_EQ(status.wait_until, kNow + std::chrono::milliseconds(30));
  EXPECT_EQ(Get<CancelRequest>(Map("DELETE", "/v1/tasks/t1")).task, TaskId("t1"));
  const std::string intents = R"({"intents":[{"type":"domain_out","domain":"north"}]})";
  const auto plan = Get<PlanRequest>(Map("POST", "/v1/plans", intents));
  EXPECT_EQ(std::get<SetDomainIntent>(plan.intents.at(0)).domain, DomainId("north"));
  const auto confirm = Get<ConfirmRequest>(Map("POST", "/v1/plans/p1/confirm", R"({"base_version":4})"));
  EXPECT_EQ(confirm.plan, PlanId("p1"));
  EXPECT_EQ(confirm.base_version, 4);
  for (const std::string name : {"status", "teams", "upstreams", "tasks", "domains", "entries", "keys"}) {
    EXPECT_EQ(ToString(Get<ViewRequest>(Map("GET", "/v1/" + name)).view), name);
  }
  EXPECT_EQ(Get<ViewRequest>(Map("GET", "/v1/explain/t1")).task, TaskId("t1"));
}

TEST(HttpRoutesTest, ErrorsNameTheInvalidField) {
  EXPECT_EQ(Map("POST", "/v1/tasks", "{").error().id, ErrorId::kInputSyntax);
  EXPECT_EQ(PathOf(Map("POST", "/v1/tasks", R"({"tasks":[{"team":1}]})")), "body/tasks/0/team");
  EXPECT_EQ(PathOf(Map("POST", "/v1/tasks", R"({"tasks":[],"wait_ms":0})")), "body/tasks");
  EXPECT_EQ(PathOf(Map("POST", "/v1/tasks", R"({"tasks":7})")), "body/tasks");
  EXPECT_EQ(PathOf(Map("POST", "/v1/tasks", R"({"wait_ms":-1})")), "body/wait_ms");
  EXPECT_EQ(PathOf(Map("POST", "/v1/previews", R"({"class":"batch"})")), "body/class");
  EXPECT_EQ(PathOf(Map("POST", "/v1/previews", R"({"semantics":"exclusive"})")), "body/semantics");
  EXPECT_EQ(PathOf(Map("POST", "/v1/previews", "{}", {{"Jaymast-Deadline-Ms", "soon"}})), "Jaymast-Deadline-Ms");
  EXPECT_EQ(PathOf(Map("POST", "/v1/plans", "{}")), "body/intents");
  EXPECT_EQ(PathOf(Map("POST", "/v1/plans/p1/confirm", "{}")), "body/base_version");
  EXPECT_EQ(PathOf(Map("GET", "/v1/tasks/t1?wait_ms=x")), "wait_ms");
}

// Guards against an accepted key that makes the journal record of its task unreadable for the next home entry.
TEST(HttpRoutesTest, IdempotencyKeysThatCannotBeStoredAreRefused) {
  const auto submit = [](const std::string& key, const std::string& body) {
    return PathOf(Map("POST", "/v1/tasks", body, {{"Idempotency-Key", key}}));
  };
  const std::string two = R"({"tasks":[{},{}]})";
  EXPECT_EQ(submit("order-\xff", "{}"), "Idempotency-Key");
  EXPECT_EQ(submit("order-\xed\xa0\x80", "{}"), "Idempotency-Key");
  EXPECT_EQ(submit(std::string(128, 'k'), two), "Idempotency-Key");
  EXPECT_EQ(submit(std::string(128, 'k'), "{}"), "no error");
  EXPECT_EQ(submit(std::string(126, 'k'), two), "no error");
  EXPECT_EQ(submit("order-\xc3\xa9", two), "no error");
}

// Guards against a request body that crashes the entry, and against accepted tasks that cannot be stored.
TEST(HttpRoutesTest, MutatedRequestsAreRefusedOrStorable) {
  const std::vector<std::pair<std::string, std::string>> samples = {
      {"/v1/tasks", R"({"team":"desk","class":"batch","body":"x","wait_ms":5})"},
      {"/v1/tasks", R"({"tasks":[{"team":"a"},{"team":"b","idempotency_key":"own"}],"wait_ms":0})"},
      {"/v1/previews", R"({"team":"desk","body":"span"})"},
      {"/v1/plans", R"({"intents":[{"type":"set_team","team":"desk","share":2,"limit":4}]})"},
      {"/v1/plans/p1/confirm", R"({"base_version":4})"},
  };
  CheckWithFixedSeed(2'000, [&] {
    const auto& [target, body] = samples[*rc::gen::inRange<std::size_t>(0, samples.size())];
    const std::string key = MutatedBytes("order-7");
    const std::string path = *rc::gen::inRange(0, 4) == 0 ? "/" + MutatedBytes(target.substr(1)) : target;
    const Result<Request> request = Map("POST", path, MutatedJson(body), {{"Idempotency-Key", key}});
    if (!request) {
      RC_ASSERT(IsLocated(request.error()));
      return;
    }
    const auto* submit = std::get_if<SubmitRequest>(&*request);
    if (submit == nullptr) return;
    for (const TaskSpec& spec : submit->specs) {
      const Result<boost::json::object> stored = ParseObject(boost::json::serialize(ToJson(spec)), "");
      RC_ASSERT(stored.has_value());
      RC_ASSERT(*TaskSpecFromJson(*stored, "") == spec);
    }
  });
}

// Guards against a malformed header that is accepted as a key.
TEST(HttpRoutesTest, OnlyWellFormedBearerKeysAreRead) {
  const auto secret = [](const std::string& header) {
    return BearerSecret(HttpRequest{"GET", "/v1/status", {{"Authorization", header}}, ""});
  };
  for (const std::string header : {"", "Bearer", "Bearer ", "Basic secret", "Bearersecret", "secret"}) {
    EXPECT_EQ(secret(header), "") << header;
  }
  CheckWithFixedSeed(1'000, [&] {
    const std::string header = MutatedBytes("Bearer secret");
    const std::string read = secret(header);
    RC_ASSERT(read.empty() || header.ends_with(" " + read));
  });
}

// Guards against a response that is invalid JSON because it quotes bytes of a malformed target.
TEST(HttpRoutesTest, ProblemsOfMalformedTargetsAreValidJson) {
  CheckWithFixedSeed(1'000, [] {
    const Result<Request> request = Map("POST", MutatedBytes("/v1/plans/%ff/confirm"), "[");
    RC_ASSERT(!request);
    const HttpResponse http = ProblemResponse(HttpStatusOf(request.error()), request.error(), Verdict::kNotRun);
    RC_ASSERT(ParseObject(http.body, "").has_value());
  });
}

TEST(HttpRoutesTest, UnknownRoutesAreNotFound) {
  for (const std::string target :
       {"/", "/v1", "/v1/nothing", "/v2/tasks", "/v1/status/x", "/v1/explain", "/v1/tasks/a/b"}) {
    const Result<Request> request = Map("GET", target);
    ASSERT_FALSE(request) << target;
    EXPECT_EQ(HttpStatusOf(request.error()), 404) << target;
  }
  EXPECT_EQ(HttpStatusOf(Map("PUT", "/v1/tasks").error()), 404);
}

TEST(HttpRoutesTest, ErrorResponseIsAProblemWithTheStableId) {
  Response response;
  response.status = 409;
  response.verdict = Verdict::kMayHaveRun;
  response.error = Error{ErrorId::kOutcomeUnknown, "task", "no answer"};
  const HttpResponse http = ResponseToHttp(response);
  EXPECT_EQ(http.status, 409);
  EXPECT_EQ(FindHeader(http.headers, "content-type"), "application/problem+json");
  EXPECT_EQ(FindHeader(http.headers, "Jaymast-Verdict"), "may_have_run");
  EXPECT_EQ(http.body, R"({"type":"jaymast.outcome.unknown","status":409,"detail":"no answer","path":"task",)"
                       R"("verdict":"may_have_run"})");
}

}  // namespace
}  // namespace jaymast
