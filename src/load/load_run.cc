#include "load/load_run.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "load/answer_check.h"
#include "load/arrival_schedule.h"
#include "model/codec.h"
#include "model/runner_codec.h"
#include "net/blocking_http_client.h"
#include "net/http_client.h"
#include "net/io_pool.h"
#include "runtime/wall_clock.h"

namespace jaymast {
namespace {

namespace json = boost::json;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kTrafficThreads = 2;
constexpr std::size_t kMaxQueued = 100'000;
constexpr int kFirstErrorStatus = 300;

/// Time for the connections to be used before the first arrival, and for the last callbacks after the deadline.
constexpr std::chrono::milliseconds kMargin{1'000};

/// Demand of each task. Small, so that the slots of a runner are what limits it.
constexpr Resources kDemand{100, 16, 0, 1};

HttpRequest ToHttp(HttpCall call) { return {std::move(call.method), std::move(call.target), {}, std::move(call.body)}; }

/// Stable id of a problem, or the HTTP status when the body is no problem.
std::string ProblemId(const HttpResponse& response) {
  const Result<json::object> object = ParseObject(response.body, "");
  if (object) {
    const json::value* type = object->if_contains("type");
    if (type != nullptr && type->is_string()) return std::string(type->get_string());
  }
  return fmt::format("status-{}", response.status);
}

/// Judgement of one answer.
struct Judged {
  std::string outcome;
  bool good = false;
  bool wrong = false;
};

Judged JudgePreview(const HttpResponse& response, const std::string& body) {
  const std::string verdict(FindHeader(response.headers, "Jaymast-Verdict"));
  if (response.status >= kFirstErrorStatus) return {verdict + ":" + ProblemId(response), false, false};
  const bool whole = IsOwnWholeOutput(response.body, body);
  return {verdict, whole, !whole};
}

Judged JudgeSubmission(const HttpResponse& response, const std::string& body) {
  if (response.status >= kFirstErrorStatus) return JudgePreview(response, body);
  const Result<json::object> object = ParseObject(response.body, "");
  const json::value* tasks = object ? object->if_contains("tasks") : nullptr;
  const json::array* array = tasks == nullptr ? nullptr : tasks->if_array();
  const bool has_one = array != nullptr && array->size() == 1 && array->front().is_object();
  if (!has_one) return {"malformed", false, true};
  const json::object& task = array->front().get_object();
  const json::value* state = task.if_contains("state");
  if (state == nullptr || !state->is_string()) return {"malformed", false, true};
  const std::string name(state->get_string());
  if (name != "succeeded") return {name, name != "refused" && name != "failed", false};
  const json::value* output = task.if_contains("output");
  const bool whole =
      output != nullptr && output->is_string() && IsOwnWholeOutput(std::string_view(output->get_string()), body);
  return {name, whole, !whole};
}

Judged JudgeBaseline(const HttpResponse& response, const std::string& body) {
  const Result<UpstreamReply> reply = DecodeUpstreamReply(response.body);
  if (!reply) return {"malformed", false, true};
  if (reply->status != CallStatus::kOk) return {std::string(ToString(reply->status)), false, false};
  const bool whole = IsOwnWholeOutput(reply->output, body);
  return {std::string(ToString(reply->result)), whole, !whole};
}

Judged Judge(WorkStream stream, const HttpResult& result, const std::string& body) {
  if (result.status != SendStatus::kAnswered) return {std::string(ToString(result.status)), false, false};
  if (stream == WorkStream::kPreview) return JudgePreview(result.response, body);
  if (stream == WorkStream::kSubmission) return JudgeSubmission(result.response, body);
  return JudgeBaseline(result.response, body);
}

/// A fenced runner.
struct Baseline {
  std::string address;
  std::int64_t start_by_ms = 0;
};

Result<Baseline> FenceBaseline(const std::string& address, const FencingToken& token, const LoadOptions& options) {
  BlockingHttpClient client;
  const HttpResult result = client.Call(address, ToHttp(EncodeUpstreamRequest(FenceRequest{token})), options.timeout);
  if (result.status != SendStatus::kAnswered) return Error{ErrorId::kUpstreamFailed, address, result.reason};
  const Result<UpstreamReply> reply = DecodeUpstreamReply(result.response.body);
  if (!reply) return reply.error();
  if (reply->status != CallStatus::kOk) return Error{ErrorId::kUpstreamFailed, address, reply->reason};
  const auto longest = options.duration + options.timeout + 2 * kMargin;
  return Baseline{address, reply->now_ms + longest.count()};
}

/// One run: sends the requests on the calling thread and collects answers on the traffic threads.
class Generator {
 public:
  Generator(const LoadOptions& options, std::vector<Baseline> baselines, FencingToken token)
      : m_options(options),
        m_baselines(std::move(baselines)),
        m_token(std::move(token)),
        m_run(fmt::format("{}-{}", m_token.epoch, options.seed)),
        m_pool(kTrafficThreads),
        m_client(m_pool, ClientOptions(options)) {}

  ~Generator() { m_pool.Stop(); }
  Generator(const Generator&) = delete;
  Generator& operator=(const Generator&) = delete;

  LoadReport Run() {
    const StreamRates rates = {m_options.entries.empty() ? 0 : m_options.preview_rate,
                               m_options.entries.empty() ? 0 : m_options.submission_rate,
                               m_baselines.empty() ? 0 : m_options.preview_rate};
    const std::vector<Arrival> schedule = MakeSchedule(rates, m_options.duration, m_options.seed);
    const SteadyClock::time_point start = SteadyClock::now() + kMargin;
    for (const Arrival& arrival : schedule) {
      const SteadyClock::time_point scheduled = start + arrival.at;
      std::this_thread::sleep_until(scheduled);
      Send(arrival, scheduled);
    }
    std::unique_lock lock(m_mutex);
    m_answered.wait_for(lock, m_options.timeout + kMargin, [this, &schedule] { return m_answers == schedule.size(); });
    CountMissing(schedule);
    return m_report;
  }

 private:
  static HttpClientOptions ClientOptions(const LoadOptions& options) {
    HttpClientOptions client;
    client.max_connections_per_host = options.connections;
    client.max_queued_per_host = kMaxQueued;
    return client;
  }

  /// Counts requests whose callback did not come. Needs the lock.
  void CountMissing(const std::vector<Arrival>& schedule) {
    for (const Arrival& arrival : schedule) ++m_report.Of(arrival.stream).outcomes["missing"];
    for (const std::string_view name : EnumNames<WorkStream>::kNames) {
      StreamReport& report = m_report.Of(*FromString<WorkStream>(name));
      for (const auto& [outcome, count] : report.outcomes) {
        if (outcome != "missing") report.outcomes["missing"] -= count;
      }
      if (report.outcomes["missing"] == 0) report.outcomes.erase("missing");
    }
  }

  void Send(const Arrival& arrival, SteadyClock::time_point scheduled) {
    std::string body =
        MakeBody(m_run, arrival.stream, arrival.number, m_options.run_time.count(), m_options.padding_bytes);
    const bool direct = arrival.stream == WorkStream::kBaseline;
    HttpRequest request = direct ? BaselineRequest(arrival, body) : EntryRequest(arrival, body);
    const std::string& address = direct ? m_baselines[arrival.number % m_baselines.size()].address
                                        : m_options.entries[arrival.number % m_options.entries.size()];
    m_client.Send(address, std::move(request), scheduled + m_options.timeout,
                  [this, stream = arrival.stream, scheduled, body = std::move(body)](const HttpResult& result) {
                    OnAnswer(stream, scheduled, body, result);
                  });
  }

  TaskSpec MakeSpec(const std::string& body) const {
    TaskSpec spec;
    spec.team = TeamId(m_options.team);
    spec.demand = kDemand;
    spec.declared_run_ms = std::max<std::int64_t>(m_options.run_time.count(), 1);
    spec.body = body;
    return spec;
  }

  HttpRequest BaselineRequest(const Arrival& arrival, const std::string& body) const {
    const Baseline& baseline = m_baselines[arrival.number % m_baselines.size()];
    TaskSpec spec = MakeSpec(body);
    spec.id = TaskId(fmt::format("load-{}-{}", m_run, arrival.number));
    spec.work_class = WorkClass::kPreview;
    return ToHttp(EncodeUpstreamRequest(RunTaskRequest{m_token, spec, 1, m_token.owner, baseline.start_by_ms}));
  }

  HttpRequest EntryRequest(const Arrival& arrival, const std::string& body) const {
    TaskSpec spec = MakeSpec(body);
    HttpRequest request;
    request.method = "POST";
    request.headers = {{"Authorization", "Bearer " + m_options.key},
                       {"Content-Type", "application/json"},
                       {"Jaymast-Deadline-Ms", std::to_string(m_options.timeout.count())}};
    if (arrival.stream == WorkStream::kPreview) {
      spec.kind = "load-preview";
      spec.work_class = WorkClass::kPreview;
      request.target = "/v1/previews";
      request.body = json::serialize(ToJson(spec));
      return request;
    }
    spec.kind = "load-submission";
    spec.idempotency_key = fmt::format("load-{}-{}", m_run, arrival.number);
    request.target = "/v1/tasks";
    const json::object body_object = {{"tasks", json::array{ToJson(spec)}},
                                      {"wait_ms", m_options.submission_wait.count()}};
    request.body = json::serialize(body_object);
    return request;
  }

  void OnAnswer(WorkStream stream, SteadyClock::time_point scheduled, const std::string& body,
                const HttpResult& result) {
    const Duration latency = std::chrono::duration_cast<Duration>(SteadyClock::now() - scheduled);
    const Judged judged = Judge(stream, result, body);
    const std::lock_guard lock(m_mutex);
    StreamReport& report = m_report.Of(stream);
    ++report.outcomes[judged.outcome];
    if (judged.wrong) ++report.wrong_answers;
    if (judged.good) ++report.good_answers;
    if (judged.good || result.status != SendStatus::kAnswered) report.latency.Add(latency);
    ++m_answers;
    m_answered.notify_one();
  }

  const LoadOptions& m_options;
  const std::vector<Baseline> m_baselines;
  const FencingToken m_token;
  const std::string m_run;
  std::mutex m_mutex;
  std::condition_variable m_answered;
  LoadReport m_report;
  std::size_t m_answers = 0;
  IoPool m_pool;
  HttpClient m_client;
};

}  // namespace

Result<LoadReport> RunLoad(const LoadOptions& options) {
  // The wall clock as epoch is higher than that of any earlier run against the same runner.
  const FencingToken token{EntryId("jaymast-load"), WallMillis()};
  std::vector<Baseline> baselines;
  for (const std::string& address : options.baselines) {
    Result<Baseline> baseline = FenceBaseline(address, token, options);
    if (!baseline) return baseline.error();
    baselines.push_back(std::move(*baseline));
  }
  return Generator(options, std::move(baselines), token).Run();
}

}  // namespace jaymast
