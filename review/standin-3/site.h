// Stand-ins of the platform for review/: its store, its runners, and the machines that run the entry program.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <boost/json.hpp>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <memory>
#include <random>
#include <sstream>
#include <tuple>
#include <vector>

#include "http.h"

namespace site {

namespace json = boost::json;

// Writes record.txt: what was sent, answered and run, with the time since the start in ms.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(path), m_began(NowMs()) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    m_file << NowMs() - m_began << " " << text << "\n" << std::flush;
  }
  std::int64_t Since(std::int64_t ms) const { return ms - m_began; }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
  const std::int64_t m_began;
};

inline std::string EncodeBase64(const std::string& in) {
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    unsigned bits = 0;
    for (std::size_t k = 0; k < 3; ++k)
      bits = bits << 8U | (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0U);
    for (int k = 0; k < 4; ++k) out += kDigits[bits >> (18 - 6 * k) & 63U];
    if (i + 1 >= in.size()) out[out.size() - 2] = '=';
    if (i + 2 >= in.size()) out[out.size() - 1] = '=';
  }
  return out;
}

inline std::string DecodeQuery(const std::string& in) {
  std::string out;
  for (std::size_t i = 0; i < in.size(); ++i) {
    if (in[i] == '%' && i + 2 < in.size()) {
      out += static_cast<char>(std::stoi(in.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += in[i];
    }
  }
  return out;
}

inline std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) return query;
  std::stringstream rest(target.substr(mark + 1));
  std::string pair;
  while (std::getline(rest, pair, '&')) {
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) query[pair.substr(0, equals)] = DecodeQuery(pair.substr(equals + 1));
  }
  return query;
}

inline std::string Text(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

inline std::int64_t Number(const json::object& object, const char* name, std::int64_t fallback = 0) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : fallback;
}

// The store of the platform: rows in tables, transactions under conditions, and a feed of changes.
class Store {
 public:
  using Name = std::tuple<std::string, std::string, std::string>;  // table, part, key

  // What the operator and the runners write, in tables with an empty part.
  void Put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    m_rows[{table, "", key}] = {EncodeBase64(value), ++m_version, false};
    m_changed.notify_all();
  }

  // Of the writes, this many in a hundred are done and not answered.
  void LoseAnswers(int percent) { m_lost_percent = percent; }
  int lost_answers() const { return m_lost_answers; }

  Response Handle(const Request& request) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    SleepMs(4);
    if (path == "/v1/rows-tx") {
      const Response response = Commit(request.body);
      const bool is_lost = response.status == 200 && static_cast<int>(m_random() % 100) < m_lost_percent;
      if (!is_lost) return response;
      ++m_lost_answers;
      return {};
    }
    auto query = Query(request.target);
    if (path == "/v1/rows-get") return Get(query);
    if (path == "/v1/rows-feed") return Feed(query);
    return {404, "{}"};
  }

 private:
  struct Row {
    std::string value;  // base64
    std::int64_t version = 0;
    bool is_deleted = false;
  };
  static constexpr std::size_t kPageRows = 500;
  static constexpr std::size_t kMaxEntries = 100;
  static constexpr std::size_t kMaxRowBytes = 65'536;

  static json::object Describe(const Name& name, const Row& row) {
    json::object out{{"table", std::get<0>(name)},
                     {"part", std::get<1>(name)},
                     {"key", std::get<2>(name)},
                     {"value", row.value},
                     {"ver", row.version}};
    if (row.is_deleted) out["deleted"] = true;
    return out;
  }

  Response Answer(int status, json::object body) const {
    body["ver"] = m_version;
    body["nowMs"] = NowMs();
    return {status, json::serialize(body)};
  }

  Response Commit(const std::string& body) {
    const std::lock_guard lock(m_mutex);
    const json::object call = json::parse(body).as_object();
    const auto list = [&call](const char* name) {
      const json::value* value = call.if_contains(name);
      return value == nullptr ? json::array() : value->as_array();
    };
    const json::array conditions = list("expectedRev");
    const json::array upserts = list("upserts");
    const json::array removals = list("remove");
    if (conditions.size() + upserts.size() + removals.size() > kMaxEntries) return {400, "{}"};
    const auto name_of = [](const json::object& row) {
      return Name{Text(row, "table"), Text(row, "part"), Text(row, "key")};
    };
    json::array current;
    bool holds = true;
    for (const json::value& value : conditions) {
      const json::object& condition = value.as_object();
      const auto found = m_rows.find(name_of(condition));
      const bool exists = found != m_rows.end() && !found->second.is_deleted;
      holds = holds && Number(condition, "ver") == (exists ? found->second.version : 0);
      if (exists) current.push_back(Describe(found->first, found->second));
    }
    if (!holds) return Answer(412, {{"rows", std::move(current)}});
    for (const json::value& value : upserts) {
      if (Text(value.as_object(), "value").size() / 4 * 3 > kMaxRowBytes) return {400, "{}"};
    }
    ++m_version;
    for (const json::value& value : upserts) {
      m_rows[name_of(value.as_object())] = {Text(value.as_object(), "value"), m_version, false};
    }
    for (const json::value& value : removals) m_rows[name_of(value.as_object())] = {"", m_version, true};
    m_changed.notify_all();
    return Answer(200, {});
  }

  Response Get(std::map<std::string, std::string>& query) const {
    const std::lock_guard lock(m_mutex);
    const std::size_t limit =
        query["limit"].empty() ? kPageRows : std::min<std::size_t>(kPageRows, std::stoul(query["limit"]));
    json::array rows;
    bool has_more = false;
    for (auto it = m_rows.lower_bound({query["table"], query["part"], query["from"]}); it != m_rows.end(); ++it) {
      const auto& [table, part, key] = it->first;
      if (table != query["table"] || part != query["part"] || (!query["to"].empty() && key >= query["to"])) break;
      if (it->second.is_deleted) continue;
      has_more = rows.size() >= limit;
      if (has_more) break;
      rows.push_back(Describe(it->first, it->second));
    }
    return Answer(200, {{"rows", std::move(rows)}, {"hasMore", has_more}});
  }

  Response Feed(std::map<std::string, std::string>& query) {
    std::unique_lock lock(m_mutex);
    const std::int64_t after = std::stoll(query["after"]);
    const std::int64_t until = NowMs() + (query["waitMs"].empty() ? 0 : std::stoll(query["waitMs"]));
    while (true) {
      std::map<std::int64_t, json::array> changes;
      for (auto it = m_rows.lower_bound({query["table"], "", ""}); it != m_rows.end(); ++it) {
        if (std::get<0>(it->first) != query["table"]) break;
        if (it->second.version > after) changes[it->second.version].push_back(Describe(it->first, it->second));
      }
      const std::int64_t left = until - NowMs();
      if (changes.empty() && left > 0) {
        m_changed.wait_for(lock, std::chrono::milliseconds(left));
        continue;
      }
      json::array rows;
      for (auto& [version, changed] : changes) {
        for (json::value& row : changed) rows.push_back(std::move(row));
      }
      return Answer(200, {{"rows", std::move(rows)}});
    }
  }

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<Name, Row> m_rows;
  std::int64_t m_version = 0;
  std::atomic<int> m_lost_percent = 0;
  std::atomic<int> m_lost_answers = 0;
  std::minstd_rand m_random{7};
};

// A run of a task on a runner, as the runner saw it.
struct Run {
  std::string task;
  std::int64_t number = 0;
  std::string runner;
  std::string spec;
  std::int64_t began_ms = 0;
  std::int64_t ended_ms = 0;  // 0 while it runs
  std::string how;
};

// All runs of all runners.
class Runs {
 public:
  explicit Runs(Record& record) : m_record(record) {}

  void Begin(const std::string& task, std::int64_t number, const std::string& runner, const std::string& spec) {
    const std::lock_guard lock(m_mutex);
    m_runs.push_back({task, number, runner, spec, NowMs(), 0, ""});
    m_record.Line("run begins: " + task + " run " + std::to_string(number) + " on " + runner + " with spec " + spec);
  }
  void End(const std::string& task, std::int64_t number, const std::string& runner, const std::string& how) {
    const std::lock_guard lock(m_mutex);
    for (Run& run : m_runs) {
      if (run.task != task || run.number != number || run.runner != runner || run.ended_ms != 0) continue;
      run.ended_ms = NowMs();
      run.how = how;
      m_record.Line("run ends: " + task + " run " + std::to_string(number) + " on " + runner + " " + how);
    }
  }
  void Violate(const std::string& what) {
    const std::lock_guard lock(m_mutex);
    m_violations.push_back(what);
    m_record.Line("BROKEN: " + what);
  }
  std::vector<std::string> Violations() const {
    const std::lock_guard lock(m_mutex);
    return m_violations;
  }
  std::vector<Run> All() const {
    const std::lock_guard lock(m_mutex);
    return m_runs;
  }

 private:
  Record& m_record;
  mutable std::mutex m_mutex;
  std::vector<Run> m_runs;
  std::vector<std::string> m_violations;
};

// A runner: runs tasks under a lease, and lists what runs and what has ended. The spec of a task says what it does:
// ms=N is how long it runs, or ms1=N for a task of step 1, cpu=N what it takes, needs=K the kind of runner that it
// needs.
class Runner {
 public:
  Runner(const std::string& ip, std::string id, std::string zone, std::string kind, std::int64_t cpu, Store& store,
         Runs& runs, Record& record)
      : m_id(std::move(id)),
        m_zone(std::move(zone)),
        m_kind(std::move(kind)),
        m_cpu(cpu),
        m_store(store),
        m_runs(runs),
        m_record(record),
        m_born_unix_ms(UnixMs()),
        m_began_ms(NowMs()),
        m_server(ip, [this](const Request& request) { return Handle(request); }) {
    std::thread([this] { Beat(); }).detach();
    std::thread([this] { Watch(); }).detach();
  }

  const std::string& id() const { return m_id; }
  const std::string& zone() const { return m_zone; }

  // The process dies, and starts again under its id and address as a runner of another kind. It registers at once.
  void Restart(std::int64_t down_ms, const std::string& kind, std::int64_t cpu) {
    m_record.Line("runner " + m_id + " dies");
    m_server.Close();
    {
      const std::lock_guard lock(m_mutex);
      for (const auto& [task, run] : m_running) m_runs.End(task, run.number, m_id, "died with its runner");
      m_running.clear();
      m_highest.clear();
      m_ended.clear();
      m_last_end = 0;
      m_token = 0;
      m_lease_until_ms = 0;
      m_has_ended.notify_all();
    }
    SleepMs(down_ms);
    {
      const std::lock_guard lock(m_mutex);
      m_kind = kind;
      m_cpu = cpu;
      m_born_unix_ms = UnixMs();
      m_began_ms = NowMs();
    }
    m_server.Open();
    m_record.Line("runner " + m_id + " is back, of kind " + kind + " with " + std::to_string(cpu) +
                  " thousandths of a core");
    Register();
  }

 private:
  struct Active {
    std::int64_t number = 0;
    std::int64_t began_ms = 0;
    std::int64_t until_ms = 0;  // 0 for a task that lasts
    std::int64_t cpu = 0;
  };
  struct Ended {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };
  static constexpr std::int64_t kHoldMaxMs = 10'000;
  static constexpr std::int64_t kBeatMs = 1'500;

  static std::int64_t UnixMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
  }

  // Number behind a word of the spec, such as cpu=1000.
  static std::int64_t Figure(const std::string& spec, const std::string& word, std::int64_t fallback) {
    const std::size_t at = spec.find(word);
    return at == std::string::npos ? fallback : std::stoll(spec.substr(at + word.size()));
  }

  std::int64_t ClockMs() const { return 1 + NowMs() - m_began_ms; }

  void Beat() {
    while (true) {
      Register();
      SleepMs(kBeatMs);
    }
  }

  void Register() {
    const std::lock_guard lock(m_mutex);
    m_store.Put("servers", m_id,
                json::serialize(json::object{{"service", "desk"},
                                             {"address", m_server.address()},
                                             {"zone", m_zone},
                                             {"version", "v1"},
                                             {"slots", 8},
                                             {"state", "ready"},
                                             {"coldRemainingMs", 0},
                                             {"capacity", {{"cpu", m_cpu}, {"memMb", 32768}, {"gpus", 0}}},
                                             {"labels", {m_kind, "r-" + m_zone}},
                                             {"born", m_born_unix_ms},
                                             {"clockMs", ClockMs()},
                                             {"sequence", ++m_sequence}}));
  }

  // Ends runs whose time has come, or whose lease has expired.
  void Watch() {
    while (true) {
      SleepMs(5);
      const std::lock_guard lock(m_mutex);
      const bool has_lapsed = ClockMs() >= m_lease_until_ms;
      const auto running = m_running;
      for (const auto& [task, run] : running) {
        if (has_lapsed)
          End(task, "lapsed");
        else if (run.until_ms != 0 && NowMs() >= run.until_ms)
          End(task, "done");
      }
    }
  }

  void End(const std::string& task, const std::string& how) {
    const Active run = m_running.at(task);
    m_running.erase(task);
    m_highest[task] = std::max(m_highest[task], run.number);
    m_ended.push_back({++m_last_end, task, run.number, how});
    m_runs.End(task, run.number, m_id, how);
    m_has_ended.notify_all();
  }

  void Extend(const json::object& call) {
    const std::int64_t until = std::min(Number(call, "untilMs"), ClockMs() + kHoldMaxMs);
    m_lease_until_ms = std::max(m_lease_until_ms, until);
  }

  Response Answer(int status, json::object body) const {
    body["clockMs"] = ClockMs();
    body["born"] = m_born_unix_ms;
    return {status, json::serialize(body)};
  }

  Response Handle(const Request& request) {
    const auto expected = request.headers.find("jaymast-expect-instance");
    if (expected != request.headers.end() && expected->second != m_id) return {421, ""};
    const json::object call = json::parse(request.body).as_object();
    std::unique_lock lock(m_mutex);
    const std::int64_t token = Number(call, "fencingToken");
    if (token < m_token) return Answer(409, {{"reason", "fence"}});
    m_token = token;
    if (request.target == "/v1/hold") {
      if (call.contains("untilMs")) Extend(call);
      while (!m_ended.empty() && m_ended.front().number <= Number(call, "lastSeen")) m_ended.pop_front();
      const std::int64_t until = NowMs() + std::min<std::int64_t>(2'000, Number(call, "waitMs"));
      while (m_ended.empty() && NowMs() < until) {
        m_has_ended.wait_for(lock, std::chrono::milliseconds(until - NowMs()));
      }
      return Answer(200, Lists());
    }
    const std::string task = Text(call, "task");
    const std::int64_t number = Number(call, "run");
    const auto found = m_running.find(task);
    const bool runs = found != m_running.end() && found->second.number == number;
    if (request.target == "/v1/run-stop") {
      if (runs) End(task, "stopped");
      m_highest[task] = std::max(m_highest[task], number);
      return Answer(200, {});
    }
    if (request.target != "/v1/run-start") return {404, "{}"};
    if (Number(call, "untilMs") <= ClockMs()) return Answer(409, {{"reason", "late"}});
    Extend(call);
    if (runs) return Answer(200, {});
    if (found != m_running.end() || m_highest[task] >= number) return Answer(409, {{"reason", "old"}});
    const std::string spec = Text(call, "spec");
    const std::string step = task.substr(task.find('.', task.find('.') + 1) + 1);
    const std::int64_t ms = Figure(spec, "ms" + step.substr(0, step.find('.')) + "=", Figure(spec, "ms=", 0));
    const std::int64_t cpu = Figure(spec, "cpu=", 0);
    m_running[task] = {number, NowMs(), ms == 0 ? 0 : NowMs() + ms, cpu};
    m_runs.Begin(task, number, m_id, spec);
    std::int64_t used = 0;
    for (const auto& [name, run] : m_running) used += run.cpu;
    if (used > m_cpu) {
      m_runs.Violate("LIMIT: " + task + " brings " + m_id + " to " + std::to_string(used) + " of " +
                     std::to_string(m_cpu) + " thousandths of a core");
    }
    const std::size_t needs = spec.find("needs=");
    if (needs != std::string::npos && spec.substr(needs + 6, 1) != m_kind) {
      m_runs.Violate("ROUTE: " + task + " needs the label " + spec.substr(needs + 6, 1) + " and starts on " + m_id +
                     " of kind " + m_kind);
    }
    return Answer(200, {});
  }

  json::object Lists() const {
    json::array running;
    for (const auto& [task, run] : m_running) {
      std::int64_t percent = 100;
      if (run.until_ms != 0)
        percent = 100 * (NowMs() - run.began_ms) / std::max<std::int64_t>(1, run.until_ms - run.began_ms);
      running.push_back(json::array{task, run.number, "", std::min<std::int64_t>(100, percent), 0});
    }
    json::array ended;
    for (const Ended& end : m_ended) ended.push_back(json::array{end.number, end.task, end.run, end.how, ""});
    return {{"running", std::move(running)}, {"ended", std::move(ended)}};
  }

  const std::string m_id;
  const std::string m_zone;
  std::string m_kind;
  std::int64_t m_cpu;
  Store& m_store;
  Runs& m_runs;
  Record& m_record;
  std::int64_t m_born_unix_ms;
  std::int64_t m_began_ms;
  int m_sequence = 0;
  std::mutex m_mutex;
  std::condition_variable m_has_ended;
  std::map<std::string, Active> m_running;
  std::map<std::string, std::int64_t> m_highest;
  std::deque<Ended> m_ended;
  std::int64_t m_last_end = 0;
  std::int64_t m_token = 0;
  std::int64_t m_lease_until_ms = 0;
  Server m_server;
};

// A machine that runs the program of the deploy file.
class Machine {
 public:
  Machine(int index, const std::string& program, const std::string& folder, const std::string& ip,
          const std::string& zone, const std::string& store, const std::string& advice, Record& record)
      : m_program(program),
        m_folder(folder),
        m_name("frontend-" + zone + "-" + std::to_string(index)),
        m_record(record) {
    m_front = ip + ":" + std::to_string(FreePort(ip));
    m_ready = ip + ":" + std::to_string(FreePort(ip));
    const int internal = FreePort(ip);
    m_settings = folder + "/" + m_name + ".conf";
    std::ofstream file(m_settings);
    file << "node=" << m_name << "\nrole=entry\nmachineClass=frontend\nserves=frontend\nip=" << ip << "\nzone=" << zone
         << "\nregion=north\nlisten.front=" << m_front << "\nlisten.ready=" << m_ready
         << "\ninternalPortRange=" << internal << "," << internal
         << "\nbootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n"
         << "limits.fileDescriptors=4100\nlimits.linkMbps=1000.0\nheartbeatMs=1500\nbounds.contactMs=3000\n"
         << "bounds.graceS=6\nbounds.configApplyMs=2000\nbounds.drainMs=2000\nbounds.evacuateMs=5000\n"
         << "bounds.holdMaxMs=10000\nbounds.visible_ms=3000\norders=invocation\nadvice=" << advice
         << "\nplatform.address=" << store
         << "\nplatform.form=table\nplatform.writesPerS=800\nplatform.readsPerS=2000\n"
         << "platform.txMs=5.0\nplatform.partWritesS=200\nplatform.rowBytes=65536\nplatform.across=false\n"
         << "platform.historyS=20\n";
  }

  void Start() {
    const std::string log = m_folder + "/" + m_name + ".log";
    m_pid = ::fork();
    if (m_pid == 0) {
      // Ends with the stand-in, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      const std::string boot = "JAYMAST_BOOT=" + m_settings;
      const char* argv[] = {m_program.c_str(), nullptr};
      const char* envp[] = {"PATH=/usr/bin:/bin", boot.c_str(), nullptr};
      ::execve(m_program.c_str(), const_cast<char**>(argv), const_cast<char**>(envp));
      ::_exit(127);
    }
    m_record.Line("process " + m_name + " is started");
  }

  void Kill() {
    if (m_pid <= 0) return;
    m_record.Line("process " + m_name + " gets SIGKILL");
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }

  bool IsReady() const { return Call(m_ready, "GET", "/v1/readiness", {{"Host", m_ready}}, "", 500).status == 200; }
  const std::string& name() const { return m_name; }
  const std::string& front() const { return m_front; }

 private:
  const std::string m_program;
  const std::string m_folder;
  const std::string m_name;
  Record& m_record;
  std::string m_front;
  std::string m_ready;
  std::string m_settings;
  pid_t m_pid = -1;
};

}  // namespace site
