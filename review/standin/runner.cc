#include "runner.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace review {
namespace {

constexpr std::int64_t kHoldMaxMs = 10'000;
constexpr std::int64_t kStopMs = 100;
constexpr std::int64_t kStartupMs = 300;
constexpr std::int64_t kMaxWaitMs = 2'000;
constexpr std::size_t kMaxEnds = 500;
constexpr std::int64_t kMemoryMb = 131'072;

std::int64_t Integer(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_number()) return 0;
  return value->to_number<std::int64_t>();
}

std::string Text(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

int StepOf(const std::string& task) {
  const std::size_t last = task.rfind('.');
  const std::size_t middle = task.rfind('.', last - 1);
  return std::stoi(task.substr(middle + 1, last - middle - 1));
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Work ParseWork(const std::string& spec, int step) {
  Work work;
  const std::string prefix = std::to_string(step) + ":";
  std::size_t at = 0;
  while (at < spec.size()) {
    const std::size_t end = std::min(spec.find(';', at), spec.size());
    const std::string part = spec.substr(at, end - at);
    at = end + 1;
    if (part.rfind(prefix, 0) != 0) continue;
    const std::size_t ms = part.find("ms=");
    if (ms != std::string::npos) work.ms = std::stoll(part.substr(ms + 3));
    const std::size_t how = part.find("end=");
    if (how != std::string::npos) work.end = part.substr(how + 4, part.find(',', how) - how - 4);
    work.lasts = part.find("lasts") != std::string::npos;
  }
  return work;
}

Runner::Runner(Record& record, Store& store, std::string id, std::string zone, std::vector<std::string> labels,
               std::int64_t cpu)
    : m_record(record),
      m_store(store),
      m_id(std::move(id)),
      m_zone(std::move(zone)),
      m_labels(std::move(labels)),
      m_cpu(cpu),
      m_born(UnixMs()),
      m_server([this](const Request& request, Response& response) { Handle(request, response); }) {
  std::thread([this] { RunTasks(); }).detach();
}

std::vector<RunHistory> Runner::History() const {
  const std::lock_guard lock(m_mutex);
  return m_history;
}

void Runner::SetUnhealthy(bool is_unhealthy) {
  const std::lock_guard lock(m_mutex);
  m_is_unhealthy = is_unhealthy;
}

void Runner::SendHeartbeat() {
  json::array labels;
  for (const std::string& label : m_labels) labels.emplace_back(label);
  m_store.Put("servers", m_id,
              json::serialize(json::object{{"service", "desk"},
                                           {"address", m_server.address()},
                                           {"zone", m_zone},
                                           {"version", "v1"},
                                           {"slots", 8},
                                           {"state", "ready"},
                                           {"coldRemainingMs", 0},
                                           {"capacity", {{"cpu", m_cpu}, {"memMb", kMemoryMb}, {"gpus", 0}}},
                                           {"labels", std::move(labels)},
                                           {"clockMs", ClockMs()},
                                           {"born", m_born},
                                           {"sequence", ++m_sequence}}));
}

std::int64_t Runner::Percent(const Run& run) {
  const std::int64_t elapsed = NowMs() - run.started_ms;
  if (run.work.lasts) return elapsed >= kStartupMs ? 100 : 0;
  if (run.work.ms <= 0) return 0;
  return std::min<std::int64_t>(100, elapsed * 100 / run.work.ms);
}

void Runner::Handle(const Request& request, Response& response) {
  const std::string target(request.target());
  response.set(http::field::content_type, "application/json");
  const auto expected = request.find("Jaymast-Expect-Instance");
  if (expected != request.end() && expected->value() != m_id) {
    response.result(421);
    return;
  }
  json::error_code ec;
  const json::value parsed = json::parse(request.body(), ec);
  if (ec || !parsed.is_object()) {
    response.result(400);
    return;
  }
  const json::object& body = parsed.get_object();
  if (target == "/v1/hold") return Hold(body, response);
  std::string reason;
  unsigned status = 400;
  if (target == "/v1/run-start") status = Start(body, reason);
  if (target == "/v1/run-stop") status = Stop(body, reason);
  json::object out{{"clockMs", ClockMs()}};
  if (!reason.empty()) out["reason"] = reason;
  response.result(status);
  response.body() = json::serialize(out);
}

bool Runner::IsFenced(const json::object& body) {
  const std::int64_t token = Integer(body, "fencingToken");
  if (token < m_token) return true;
  m_token = token;
  return false;
}

void Runner::ExtendLease(const json::object& body) {
  const std::int64_t until = std::min(Integer(body, "untilMs"), ClockMs() + kHoldMaxMs);
  m_lease_until = std::max(m_lease_until, until);
}

unsigned Runner::Start(const json::object& body, std::string& reason) {
  const std::lock_guard lock(m_mutex);
  const std::string task = Text(body, "task");
  const std::int64_t run = Integer(body, "run");
  if (m_is_unhealthy) {
    m_record.Write(m_id + ": start of " + task + " run " + std::to_string(run) + " answered 503 (unhealthy)");
    return 503;
  }
  if (IsFenced(body)) {
    reason = "fence";
    return 409;
  }
  if (Integer(body, "untilMs") <= ClockMs()) {
    reason = "late";
    return 409;
  }
  ExtendLease(body);
  const auto found = m_running.find(task);
  if (found != m_running.end() && found->second.run == run) return 200;
  if (found != m_running.end() || m_highest_run[task] >= run) {
    reason = "old";
    return 409;
  }
  m_running[task] = {run, ParseWork(Text(body, "spec"), StepOf(task)), NowMs(), -1, m_history.size()};
  m_history.push_back({task, run, m_id, NowMs(), -1, ""});
  m_record.Write(m_id + ": starts " + task + " run " + std::to_string(run));
  return 200;
}

unsigned Runner::Stop(const json::object& body, std::string& reason) {
  const std::lock_guard lock(m_mutex);
  if (IsFenced(body)) {
    reason = "fence";
    return 409;
  }
  const std::string task = Text(body, "task");
  const std::int64_t run = Integer(body, "run");
  m_highest_run[task] = std::max(m_highest_run[task], run);
  const auto found = m_running.find(task);
  if (found != m_running.end() && found->second.run == run && found->second.stopping_until < 0) {
    found->second.stopping_until = NowMs() + kStopMs;
    m_record.Write(m_id + ": is told to stop " + task + " run " + std::to_string(run) + " at " +
                   std::to_string(Percent(found->second)) + " percent");
  }
  return 200;
}

void Runner::Hold(const json::object& body, Response& response) {
  std::unique_lock lock(m_mutex);
  if (IsFenced(body)) {
    response.result(409);
    response.body() = json::serialize(json::object{{"clockMs", ClockMs()}, {"reason", "fence"}});
    return;
  }
  ExtendLease(body);
  const std::int64_t last_seen = Integer(body, "lastSeen");
  std::erase_if(m_ends, [last_seen](const End& end) { return end.number <= last_seen; });
  const std::int64_t wait_ms = std::min(kMaxWaitMs, Integer(body, "waitMs"));
  if (wait_ms > 0) m_ended.wait_for(lock, std::chrono::milliseconds(wait_ms), [this] { return !m_ends.empty(); });
  json::array running;
  for (const auto& [task, run] : m_running) {
    running.push_back(json::array{task, run.run, "", Percent(run), run.work.lasts ? 20 : 500});
  }
  json::array ended;
  for (const End& end : m_ends) {
    if (ended.size() >= kMaxEnds) break;
    ended.push_back(json::array{end.number, end.task, end.run, end.how, ""});
  }
  response.body() = json::serialize(json::object{
      {"clockMs", ClockMs()}, {"born", m_born}, {"running", std::move(running)}, {"ended", std::move(ended)}});
}

void Runner::EndRun(const std::string& task, const std::string& how) {
  const Run run = m_running.at(task);
  m_running.erase(task);
  m_highest_run[task] = std::max(m_highest_run[task], run.run);
  m_ends.push_back({++m_end_count, task, run.run, how});
  m_history[run.history].ended_ms = NowMs();
  m_history[run.history].how = how;
  m_record.Write(m_id + ": ends " + task + " run " + std::to_string(run.run) + " " + how);
  m_ended.notify_all();
}

void Runner::RunTasks() {
  for (;;) {
    SleepMs(10);
    const std::lock_guard lock(m_mutex);
    const auto running = m_running;
    const bool is_lapsed = ClockMs() >= m_lease_until;
    for (const auto& [task, run] : running) {
      if (is_lapsed) {
        EndRun(task, "lapsed");
      } else if (run.stopping_until >= 0 && NowMs() >= run.stopping_until) {
        EndRun(task, "stopped");
      } else if (run.stopping_until < 0 && run.work.ms > 0 && NowMs() - run.started_ms >= run.work.ms) {
        EndRun(task, run.work.end);
      }
    }
  }
}

}  // namespace review
