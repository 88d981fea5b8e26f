#include "site.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <fstream>
#include <random>
#include <set>
#include <utility>

namespace review {
namespace {

constexpr const char* kConsumerHost = "desk.example";
constexpr const char* kApiKey = "6x73d3zji9n73hh2b9wu";
constexpr std::int64_t kCallMs = 3'000;
constexpr std::int64_t kHeartbeatMs = 1'500;
constexpr const char* kZones[] = {"zone-a", "zone-b", "zone-c"};

/// Free ports below the range from which outgoing connections get theirs. All are taken at the same time, so that they
/// differ.
std::vector<std::string> FreeAddresses(std::size_t count) {
  constexpr int kFirstPort = 20'000;
  constexpr int kPorts = 12'000;
  boost::asio::io_context context;
  std::vector<std::unique_ptr<Tcp::acceptor>> open;
  std::vector<std::string> addresses;
  std::random_device random;
  while (addresses.size() < count) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + static_cast<int>(random() % kPorts));
    auto acceptor = std::make_unique<Tcp::acceptor>(context, Tcp::v4());
    boost::system::error_code ec;
    acceptor->bind(Tcp::endpoint(boost::asio::ip::make_address(kHost), port), ec);
    if (ec) continue;
    open.push_back(std::move(acceptor));
    addresses.push_back(kHost + (":" + std::to_string(port)));
  }
  return addresses;
}

std::string PortOf(const std::string& address) { return address.substr(address.find(':') + 1); }

}  // namespace

Site::Site(Record& record, std::string folder, std::string program)
    : m_record(record), m_folder(std::move(folder)), m_program(std::move(program)), m_store(record) {
  std::thread([this] {
    for (;;) {
      for (std::size_t i = 0; i < m_runners.size(); ++i) m_runners[i]->SendHeartbeat();
      SleepMs(kHeartbeatMs);
    }
  }).detach();
}

void Site::EndProcesses() {
  for (Entry& entry : m_entries) {
    if (entry.pid <= 0) continue;
    kill(entry.pid, SIGKILL);
    waitpid(entry.pid, nullptr, 0);
  }
}

void Site::AddRunner(const std::string& id, std::vector<std::string> labels) {
  constexpr std::int64_t kCpu = 32'000;
  const char* zone = kZones[m_runners.size() % std::size(kZones)];
  m_runners.reserve(64);
  m_runners.push_back(std::make_unique<Runner>(m_record, m_store, id, zone, std::move(labels), kCpu));
  m_runners.back()->SendHeartbeat();
}

Runner& Site::runner(const std::string& id) {
  for (const auto& runner : m_runners) {
    if (runner->id() == id) return *runner;
  }
  std::abort();
}

void Site::PutConfig(std::int64_t version, const std::vector<Route>& routes) {
  json::array rows;
  std::string names;
  for (const Route& route : routes) {
    names += " " + route.name;
    rows.push_back(json::object{{"name", route.name},
                                {"host", kConsumerHost},
                                {"prefix", route.prefix},
                                {"kind", "non_idempotent"},
                                {"timeoutMs", 3000},
                                {"targetDurationMs", 1000},
                                {"priority", route.priority},
                                {"service", "desk"},
                                {"maxAttempts", 4},
                                {"stretch", 2.2},
                                {"public", false}});
  }
  const json::object config{
      {"version", version},
      {"routes", std::move(rows)},
      {"services", json::array{json::object{{"name", "desk"}, {"admissionCheck", false}, {"spare", false}}}},
      {"tenants", json::array{json::object{{"name", "kaje80"},
                                           {"apiKeys", json::array{kApiKey}},
                                           {"weight", 26},
                                           {"cap", {{"cpu", 0}, {"memMb", 0}, {"gpus", 0}}}}}}};
  m_store.Put("op", "config", json::serialize(config));
  m_record.Write("operator: configuration " + std::to_string(version) + " acknowledged, routes:" + names);
}

void Site::StartEntries(int count) {
  const std::vector<std::string> addresses = FreeAddresses(static_cast<std::size_t>(count) * 3 + 1);
  for (int i = 0; i < count; ++i) {
    const auto at = static_cast<std::size_t>(i) * 3;
    Entry entry;
    entry.name = "frontend-" + std::to_string(i + 1);
    entry.front = addresses[at];
    entry.ready = addresses[at + 1];
    entry.settings_path = m_folder + "/" + entry.name + ".conf";
    const std::string port = PortOf(addresses[at + 2]);
    std::ofstream settings(entry.settings_path);
    settings << "node=" << entry.name << "\nrole=entry\nmachineClass=frontend\nserves=frontend\nip=" << kHost
             << "\nzone=" << kZones[i % 3] << "\nlisten.front=" << entry.front << "\nlisten.ready=" << entry.ready
             << "\ninternalPortRange=" << port << "," << port << "\nbootstrap=true\nlimits.cpuShare=0.25\n"
             << "limits.cores=1\nlimits.memoryMb=260\nheartbeatMs=" << kHeartbeatMs
             << "\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.graceS=6\nbounds.holdMaxMs=10000\n"
             << "bounds.stopMs=400\nbounds.gangWaitMs=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
             << "bounds.finish_s=14\norders=invocation\nadvice=" << addresses.back()
             << "\nplatform.address=" << m_store.address() << "\nplatform.form=table\nplatform.txMs=5.0\n"
             << "platform.rowBytes=" << Store::kRowBytes << "\nplatform.across=false\ncloud.duties=\n";
    settings.close();
    m_entries.push_back(entry);
  }
  for (Entry& entry : m_entries) Spawn(entry);
}

void Site::Spawn(Entry& entry) {
  const std::string log = m_folder + "/" + entry.name + ".log";
  const std::string boot = "JAYMAST_BOOT=" + entry.settings_path;
  entry.pid = fork();
  if (entry.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    for (int fd = 3; fd < 1024; ++fd) close(fd);
    std::array<char*, 2> arguments = {const_cast<char*>(m_program.c_str()), nullptr};
    std::array<char*, 3> environment = {const_cast<char*>("PATH=/usr/bin:/bin"), const_cast<char*>(boot.c_str()),
                                        nullptr};
    execve(m_program.c_str(), arguments.data(), environment.data());
    _exit(127);
  }
  m_record.Write(entry.name + ": started");
}

bool Site::WaitUntilReady(std::int64_t timeout_ms) {
  const std::int64_t deadline = NowMs() + timeout_ms;
  while (NowMs() < deadline) {
    bool are_ready = true;
    for (const Entry& entry : m_entries) {
      const CallResult result = Call(entry.ready, MakeRequest(http::verb::get, "/v1/readiness", kHost), 500);
      are_ready = are_ready && result.status == 200;
    }
    if (are_ready) return true;
    SleepMs(100);
  }
  return false;
}

int Site::FindLeader() {
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    const CallResult result = Call(m_entries[i].ready, MakeRequest(http::verb::get, "/metrics", kHost), 500);
    if (result.body.find("\njaymast_leader 1") != std::string::npos) return static_cast<int>(i);
  }
  return -1;
}

void Site::Signal(int entry, int signal) {
  Entry& target = m_entries[static_cast<std::size_t>(entry)];
  m_record.Write(target.name + ": gets signal " + std::to_string(signal));
  kill(target.pid, signal);
}

void Site::Restart(int entry) {
  Entry& target = m_entries[static_cast<std::size_t>(entry)];
  waitpid(target.pid, nullptr, 0);
  m_record.Write(target.name + ": has ended");
  SleepMs(300);
  Spawn(target);
}

void Site::RestartEnded() {
  for (Entry& entry : m_entries) {
    int status = 0;
    if (waitpid(entry.pid, &status, WNOHANG) != entry.pid) continue;
    ++entry.own_ends;
    m_record.Write(entry.name + ": ended by itself, status " + std::to_string(status));
    SleepMs(300);
    Spawn(entry);
  }
}

int Site::CountEntriesThatEnded(int times) const {
  int count = 0;
  for (const Entry& entry : m_entries) count += entry.own_ends >= times ? 1 : 0;
  return count;
}

Answer Site::Send(http::verb method, const std::string& path, const std::string& body, int max_tries) {
  Answer answer;
  const bool is_submit = method == http::verb::post;
  while (answer.tries < max_tries) {
    const Entry& entry = m_entries[m_next_entry++ % m_entries.size()];
    Request request = MakeRequest(method, path, kConsumerHost, body);
    request.set(http::field::authorization, std::string("Token ") + kApiKey);
    request.set("Jaymast-Deadline-Ms", std::to_string(kCallMs));
    const CallResult result = Call(entry.front, std::move(request), kCallMs);
    ++answer.tries;
    answer.status = result.status;
    answer.body = result.body;
    answer.all.push_back(result.status);
    m_record.Write("consumer: " + std::string(http::to_string(method)) + " " + path + " at " + entry.name + " -> " +
                   (result.status == 0 ? "no response" : std::to_string(result.status)) + " " +
                   (is_submit ? "" : result.body));
    static const std::set<int> kFinal = {200, 201, 202, 204, 400, 401, 403, 404, 410};
    if (kFinal.contains(result.status)) return answer;
    SleepMs(result.status == 0 && !result.is_connected ? 100 : 1'000);
  }
  return answer;
}

Answer Site::Submit(const std::string& route_prefix, const std::string& id, const std::string& body, int max_tries) {
  return Send(http::verb::post, route_prefix + id, body, max_tries);
}

Answer Site::Get(const std::string& path, int max_tries) { return Send(http::verb::get, path, "", max_tries); }

std::vector<RunHistory> Site::HistoryOf(const std::string& submission) const {
  std::vector<RunHistory> found;
  for (const auto& runner : m_runners) {
    for (const RunHistory& run : runner->History()) {
      if (run.task.rfind(submission + ".", 0) == 0) found.push_back(run);
    }
  }
  return found;
}

int Site::CountRunning(const std::string& submission) const {
  int count = 0;
  for (const RunHistory& run : HistoryOf(submission)) count += run.ended_ms < 0 ? 1 : 0;
  return count;
}

}  // namespace review
