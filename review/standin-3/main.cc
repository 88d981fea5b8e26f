// Plays case 11, 12 or 13 of review/ with the program of the deploy file.
// Usage: site3 reserved|other-kind|underestimated PROGRAM RECORD. Exit code: 1 if the rule was broken, 0 if it held, 2
// if the case could not run.
#include <filesystem>
#include <iostream>

#include "site.h"

namespace site {
namespace {

constexpr const char* kHost = "desk.example";

// A loopback address of this process, so that plays at the same time do not share ports.
std::string Ip(int last) {
  const int pid = ::getpid();
  return "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(1 + pid % 250) + "." +
         std::to_string(1 + last);
}

// A site of entry machines in three zones, with the store of the platform and some runners.
struct Site {
  Site(const std::string& program, const std::string& record_path, int machine_count)
      : record(record_path), runs(record) {
    char name[] = "/tmp/site3-XXXXXX";
    if (::mkdtemp(name) == nullptr) throw std::runtime_error("no temporary folder");
    folder = name;
    advice = std::make_unique<Server>(Ip(0), [](const Request&) { return Response{429, "{}"}; });
    for (int i = 0; i < machine_count; ++i) {
      store_ports.push_back(
          std::make_unique<Server>(Ip(0), [this](const Request& request) { return store.Handle(request); }));
      const std::string zone = "z" + std::to_string(i % 3);
      machines.push_back(std::make_unique<Machine>(i, program, folder, Ip(1 + i % 3), zone,
                                                   store_ports.back()->address(), advice->address(), record));
    }
  }
  // Ends all processes that were started, and removes the temporary folder.
  void Close() {
    for (const auto& machine : machines) machine->Kill();
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
  }

  void AddRunner(const std::string& id, const std::string& zone, std::int64_t cpu, const std::string& kind = "a") {
    runners.push_back(std::make_unique<Runner>(Ip(0), id, zone, kind, cpu, store, runs, record));
  }

  // Starts all machines, and waits until they take calls and the first accepted call is possible.
  void Start() {
    for (const auto& machine : machines) machine->Start();
    for (const auto& machine : machines) {
      const std::int64_t until = NowMs() + 20'000;
      while (!machine->IsReady()) {
        if (NowMs() > until) throw std::runtime_error(machine->name() + " does not become ready");
        SleepMs(50);
      }
    }
    SleepMs(3'000);
  }

  Response Consumer(int machine, const std::string& method, const std::string& target, const std::string& key,
                    const std::string& body = "") {
    std::map<std::string, std::string> headers{
        {"Host", kHost}, {"Content-Type", "application/json"}, {"Jaymast-Deadline-Ms", "3000"}};
    if (!key.empty()) headers["Authorization"] = "Token " + key;
    const auto& to = machines[static_cast<std::size_t>(machine)];
    Response response = Call(to->front(), method, target, headers, body, 3'000);
    record.Line("consumer: " + method + " " + target + (key.empty() ? " without a key" : " with key " + key) + " at " +
                to->name() + (body.empty() ? "" : " " + body) + " -> " + std::to_string(response.status) + " " +
                response.body);
    return response;
  }

  Record record;
  Store store;
  Runs runs;
  std::string folder;
  std::unique_ptr<Server> advice;
  std::vector<std::unique_ptr<Server>> store_ports;
  std::vector<std::unique_ptr<Machine>> machines;
  std::vector<std::unique_ptr<Runner>> runners;
};

json::object Route(const std::string& name, const std::string& prefix, int priority) {
  return {{"name", name},      {"host", kHost},        {"prefix", prefix},         {"kind", "non_idempotent"},
          {"timeoutMs", 3000}, {"priority", priority}, {"targetDurationMs", 3000}, {"service", "desk"},
          {"maxAttempts", 4},  {"stretch", 2.2},       {"public", false}};
}

json::object Tenant(const std::string& name, const std::string& key) {
  return {{"name", name},
          {"apiKeys", {key}},
          {"priority", 1},
          {"weight", 50},
          {"cap", {{"cpu", 30000}, {"memMb", 100000}, {"gpus", 0}}}};
}

void PutConfig(Site& site, json::array routes) {
  site.store.Put(
      "op", "config",
      json::serialize(json::object{
          {"version", 3},
          {"routes", std::move(routes)},
          {"services",
           {{{"name", "desk"},
             {"healthPath", "/health"},
             {"maxConnections", 64},
             {"protocol", "h1"},
             {"tls", false},
             {"coldStartS", 0.0},
             {"coldPerS", 0.0},
             {"admissionCheck", false},
             {"spare", false}}}},
          {"limits",
           {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
          {"tenants", {Tenant("office-a", "key-a"), Tenant("office-b", "key-b")}}}));
}

int Verdict(Site& site, const std::string& broken) {
  site.record.Line(broken.empty() ? "the rule held" : "BROKEN: " + broken);
  std::cout << (broken.empty() ? "the rule held" : "broken: " + broken) << "\n";
  return broken.empty() ? 0 : 1;
}

// One order in twenty runs eight times as long as declared. A gang that needs its runner waits for it, and submissions
// of a less urgent queue wait although most of the service is idle.
int PlayReserved(Site& site, bool has_trouble) {
  constexpr std::int64_t kFinishMs = 14'000;      // bounds.finish_s
  constexpr std::int64_t kNothingRunsMs = 3'000;  // "for 3 s"
  constexpr int kRunners = 4;
  constexpr std::int64_t kRunnerCpu = 8'000;
  constexpr std::int64_t kServiceCpu = kRunners * kRunnerCpu;
  constexpr int kOrders = 20;
  constexpr std::int64_t kOrderCpu = 5'000;
  constexpr std::int64_t kOrderMs = 500;
  constexpr std::int64_t kLongMs = 6'000;
  constexpr int kTimesAsLong = 8;
  constexpr std::int64_t kRerunCpu = 1'000;
  for (int i = 0; i < kRunners; ++i) site.AddRunner("i-" + std::to_string(i), "z" + std::to_string(i % 3), kRunnerCpu);
  PutConfig(site, {Route("r-desk", "/desk/", 1), Route("r-rerun", "/rerun/", 2)});
  site.Start();
  const auto body = [](std::int64_t ms, int count, std::int64_t cpu, std::int64_t estimate_ms, bool is_gang) {
    return R"({"spec":"ms=)" + std::to_string(ms) + R"(","steps":[{"count":)" + std::to_string(count) + R"(,"cpu":)" +
           std::to_string(cpu) + R"(,"memMb":256,"estimateMs":)" + std::to_string(estimate_ms) +
           (is_gang ? R"(,"gang":true)" : "") + "}]}";
  };
  // Traffic of the desk, each order as long as declared.
  for (int i = 0; i + 1 < kOrders; ++i) {
    const std::string id = "5c0e7a21d94b36" + std::to_string(10 + i);
    site.Consumer(i % 6, "POST", "/desk/" + id, "key-a", body(kOrderMs, 1, kOrderCpu, kOrderMs, false));
    SleepMs(200);
  }
  SleepMs(2'000);
  const std::string order = "5c0e7a21d94b36f8";
  const std::int64_t order_ms = has_trouble ? kLongMs * kTimesAsLong : kLongMs;
  if (site.Consumer(0, "POST", "/desk/" + order, "key-a", body(order_ms, 1, kOrderCpu, kLongMs, false)).status != 200) {
    return 2;
  }
  SleepMs(500);
  const std::string gang = "5c0e7a21d94b36f9";
  if (site.Consumer(1, "POST", "/desk/" + gang, "key-a", body(8'000, kRunners, kOrderCpu, 30'000, true)).status !=
      200) {
    return 2;
  }
  SleepMs(4'000);
  std::vector<std::string> reruns;
  for (int i = 0; i < 3; ++i) {
    const std::string id = "5c0e7a21d94b370" + std::to_string(i);
    const Response posted =
        site.Consumer(2 + i, "POST", "/rerun/" + id, "key-b", body(1'000, 1, kRerunCpu, 1'000, false));
    if (posted.status == 200) reruns.push_back(id);
  }
  if (reruns.empty()) return 2;
  const std::int64_t end_of_traffic = NowMs();
  SleepMs(kFinishMs + kNothingRunsMs);
  const std::vector<Run> runs = site.runs.All();
  std::string broken;
  for (const std::string& id : reruns) {
    site.Consumer(0, "GET", "/rerun/" + id, "key-b");
    // The most that was in use at any time from the end of the traffic on. Nothing of the tenant runs, and all runs
    // have the size of an order.
    bool has_run = false;
    std::int64_t used = 0;
    for (const Run& run : runs) {
      has_run = has_run || run.task.starts_with(id);
      if (run.ended_ms == 0 || run.ended_ms > end_of_traffic) used += kOrderCpu;
    }
    if (has_run || used >= kServiceCpu / 2) continue;
    broken += "LOST: " + id + " had nothing running for " + std::to_string(kFinishMs + kNothingRunsMs) + " ms with " +
              std::to_string(used) + " of " + std::to_string(kServiceCpu) + " thousandths of a core in use; ";
  }
  return Verdict(site, broken);
}

// One order in twenty runs eight times as long as declared. A submission of many short steps, which needs a runner of
// the same kind, waits while that runner is out of use.
int PlayUnderestimated(Site& site, bool has_trouble) {
  constexpr std::int64_t kFinishMs = 14'000;      // bounds.finish_s
  constexpr std::int64_t kNothingRunsMs = 3'000;  // "for 3 s"
  constexpr int kRunners = 4;
  constexpr std::int64_t kRunnerCpu = 8'000;
  constexpr int kOrders = 20;
  constexpr std::int64_t kFirstDeclaredMs = 60'000;
  constexpr std::int64_t kMoreDeclaredMs = 100'000;  // from each step of the order to the next one
  constexpr int kOrderSteps = 4;
  constexpr int kTimesAsLong = 8;
  constexpr int kSteps = 140;
  constexpr std::int64_t kStepMs = 300;
  constexpr std::int64_t kWatchedMs = 34'000;
  for (int i = 0; i < kRunners; ++i) {
    site.AddRunner("i-" + std::to_string(i), "z" + std::to_string(i % 3), kRunnerCpu, i == 0 ? "a" : "b");
  }
  PutConfig(site, {Route("r-desk", "/desk/", 1), Route("r-rerun", "/rerun/", 2)});
  site.Start();
  const auto step = [](int count, std::int64_t estimate_ms, const std::string& more) {
    return R"({"count":)" + std::to_string(count) + R"(,"cpu":1000,"memMb":256,"estimateMs":)" +
           std::to_string(estimate_ms) + more + "}";
  };
  const auto body = [](std::int64_t ms, const std::string& steps) {
    return R"({"spec":"ms=)" + std::to_string(ms) + R"(","steps":[)" + steps + "]}";
  };
  for (int i = 0; i + 1 < kOrders; ++i) {
    const std::string id = "5c0e7a21d94b36" + std::to_string(10 + i);
    site.Consumer(i % 6, "POST", "/desk/" + id, "key-a", body(500, step(1, 500, "")));
    SleepMs(100);
  }
  SleepMs(1'000);
  // The steps of the order wait for nothing, and run at the same time.
  const std::string order = "5c0e7a21d94b36f8";
  std::string order_steps;
  std::string order_spec;
  for (int i = 0; i < kOrderSteps; ++i) {
    const std::int64_t declared_ms = kFirstDeclaredMs + i * kMoreDeclaredMs;
    order_steps += (i == 0 ? "" : ",") + step(1, declared_ms, R"(,"requiredLabel":"a")");
    order_spec += "ms" + std::to_string(i) + "=" + std::to_string(declared_ms * (has_trouble ? kTimesAsLong : 1)) + " ";
  }
  const Response posted = site.Consumer(0, "POST", "/desk/" + order, "key-a",
                                        R"({"spec":")" + order_spec + R"(","steps":[)" + order_steps + "]}");
  if (posted.status != 200) return 2;
  SleepMs(500);
  const std::string rerun = "5c0e7a21d94b3700";
  std::string steps = step(1, kStepMs, R"(,"requiredLabel":"a")");
  for (int i = 1; i < kSteps; ++i)
    steps += "," + step(1, kStepMs, R"(,"requiredLabel":"a","after":[)" + std::to_string(i - 1) + "]");
  if (site.Consumer(1, "POST", "/rerun/" + rerun, "key-b", body(kStepMs, steps)).status != 200) return 2;
  const std::int64_t end_of_traffic = NowMs();
  SleepMs(kWatchedMs);
  const std::vector<Run> runs = site.runs.All();
  site.Consumer(2, "GET", "/rerun/" + rerun, "key-b");
  // The order takes half of the eight cores of the runner at most, so there is always room for a step four times over.
  std::string broken;
  std::int64_t last_end = 0;
  for (const Run& run : runs) {
    if (!run.task.starts_with(rerun)) continue;
    const std::int64_t from = std::max(last_end, end_of_traffic + kFinishMs);
    const std::int64_t idle = run.began_ms - from;
    if (last_end != 0 && idle > kNothingRunsMs) {
      broken += "LOST: " + rerun + " had nothing running for " + std::to_string(run.began_ms - last_end) + " ms from " +
                std::to_string(site.record.Since(last_end)) + " on; ";
    }
    last_end = run.ended_ms;
  }
  return Verdict(site, broken);
}

// A runner dies and comes back as one of another kind, while answers of the store are lost. Rounds of 10 s.
int PlayOtherKind(Site& site, bool has_trouble, int rounds) {
  constexpr std::int64_t kLossMs = 4'500;
  constexpr int kLostPercent = 35;
  constexpr std::int64_t kDownMs = 300;
  constexpr std::int64_t kRunnerCpu = 32'000;
  for (int i = 0; i < 8; ++i) site.AddRunner("i-" + std::to_string(i), "z" + std::to_string(i % 3), kRunnerCpu, "b");
  site.runners[0]->Restart(0, "a", kRunnerCpu);
  PutConfig(site, {Route("r-desk", "/desk/", 1)});
  site.Start();
  std::atomic<bool> is_over = false;
  std::atomic<int> accepted = 0;
  std::vector<std::thread> consumers;
  for (int c = 0; c < 16; ++c) {
    consumers.emplace_back([&, c] {
      SleepMs(c * 19);
      for (int i = 0; !is_over; ++i) {
        char id[17];
        std::snprintf(id, sizeof(id), "5c0e7a%02x%08x", c, i);
        const std::string body =
            R"({"spec":"ms=150 cpu=3000 needs=a","steps":[{"count":1,"cpu":3000,"memMb":256,"estimateMs":150,"requiredLabel":"a"}]})";
        if (site.Consumer((c + i) % 6, "POST", std::string("/desk/") + id, "key-a", body).status == 200) ++accepted;
        SleepMs(300);
      }
    });
  }
  SleepMs(3'000);
  for (int round = 0; round < rounds && site.runs.Violations().empty(); ++round) {
    const std::int64_t until = NowMs() + 10'000;
    if (has_trouble) {
      site.record.Line("answers of the store are lost");
      site.store.LoseAnswers(kLostPercent);
      const std::int64_t end_of_loss = NowMs() + kLossMs;
      SleepMs(1'500);
      for (const int lost = site.store.lost_answers(); site.store.lost_answers() == lost && NowMs() < end_of_loss;) {
        SleepMs(10);
      }
      site.runners[0]->Restart(kDownMs, "b", kRunnerCpu);
      SleepMs(std::max<std::int64_t>(0, end_of_loss - NowMs()));
      site.store.LoseAnswers(0);
      site.record.Line("answers of the store arrive again");
      SleepMs(2'000);
      site.runners[0]->Restart(kDownMs, "a", kRunnerCpu);
    }
    SleepMs(until - NowMs());
  }
  is_over = true;
  for (std::thread& consumer : consumers) consumer.join();
  if (accepted < 20) return 2;
  std::string broken;
  for (const std::string& violation : site.runs.Violations()) broken += violation + "; ";
  return Verdict(site, broken);
}

int Main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: site3 CASE PROGRAM RECORD\n";
    return 2;
  }
  const std::string name = argv[1];
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  int result = 2;
  try {
    // Not destroyed, as the threads of the stand-ins use it to the end.
    Site& site = *new Site(std::filesystem::absolute(argv[2]).string(), argv[3], 6);
    try {
      if (name == "reserved") result = PlayReserved(site, has_trouble);
      if (name == "underestimated") result = PlayUnderestimated(site, has_trouble);
      if (name == "other-kind") result = PlayOtherKind(site, has_trouble, 8);
    } catch (const std::exception& error) {
      std::cout << error.what() << "\n";
    }
    site.Close();
    if (result == 2) std::cout << "the case could not run\n";
  } catch (const std::exception& error) {
    std::cout << "the case could not run: " << error.what() << "\n";
  }
  std::cout << std::flush;
  // Threads of the stand-ins still run.
  std::_Exit(result);
}

}  // namespace
}  // namespace site

int main(int argc, char** argv) { return site::Main(argc, argv); }
