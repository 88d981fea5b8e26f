// Plays one case of the review against the project's own processes.
//
// Usage: review-case CASE FOLDER, with TROUBLE=0 in the environment for the same without the disruption.
// Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

#include <signal.h>
#include <stdlib.h>

#include <atomic>
#include <boost/json/src.hpp>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "site.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

/// The rule LOST: this long a submission may have nothing running while a task's turn has come.
constexpr std::int64_t kIdleMs = 3'000;
/// The spans before it have to be calm for this long.
constexpr std::int64_t kCalmMs = 4'000;
constexpr std::int64_t kContactMs = 3'000;
/// Submissions are asked for this long after the end of the traffic.
constexpr std::int64_t kFinishMs = 14'000;
/// A consumer sends a submission once and up to four times again.
constexpr int kTries = 5;

const std::vector<Route> kRoutes = {
    {"r-loadcase", "/lohu930/", 1}, {"r-preview", "/pule252/", 0}, {"r-rerun", "/pufi791/", 2}};

struct Case {
  Site& site;
  Record& record;
  bool has_trouble;

  int Fail(const std::string& text) const {
    record.Write("case: could not run: " + text);
    return kNotRun;
  }
  int Judge(bool is_broken, const std::string& text) const {
    record.Write(std::string("case: the rule ") + (is_broken ? "is BROKEN: " : "held: ") + text);
    return is_broken ? kBroken : kHeld;
  }
};

/// A submission of one step or more; the steps follow one after another.
std::string Body(const std::string& spec, const json::array& steps) {
  return json::serialize(json::object{{"spec", spec}, {"steps", steps}});
}

bool SetUp(Site& site, int runners) {
  for (int i = 0; i < runners; ++i) {
    char id[32];
    std::snprintf(id, sizeof id, "i-7f3a91%02x", 0xc0 + i);
    site.AddRunner(id, {i == 0 ? "b" : "a", "r1-" + std::to_string(i / 4)});
  }
  site.PutConfig(7, kRoutes);
  site.StartEntries(3);
  return site.WaitUntilReady(10'000);
}

/// Longest time in [from, to] in which no run of the submission was at work.
std::int64_t LongestIdle(const std::vector<RunHistory>& history, std::int64_t from, std::int64_t to) {
  std::int64_t longest = 0;
  std::int64_t since = from;
  for (std::int64_t at = from; at <= to; at += 10) {
    bool is_running = false;
    for (const RunHistory& run : history) {
      is_running = is_running || (run.started_ms <= at && (run.ended_ms < 0 || run.ended_ms > at));
    }
    if (is_running) since = at;
    longest = std::max(longest, at - since);
  }
  return longest;
}

std::string Seconds(std::int64_t ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s", static_cast<double>(ms) / 1000.0);
  return text;
}

/// When the last of `tasks` tasks has ended `done`, or now.
std::int64_t DoneOrNow(const std::vector<RunHistory>& history, int tasks) {
  int done = 0;
  std::int64_t last = 0;
  for (const RunHistory& run : history) {
    if (run.how != "done") continue;
    ++done;
    last = std::max(last, run.ended_ms);
  }
  return done >= tasks ? last : NowMs();
}

int CountEnds(const std::vector<RunHistory>& history, const std::string& how) {
  int count = 0;
  for (const RunHistory& run : history) count += run.how == how ? 1 : 0;
  return count;
}

json::object Step(int count, std::int64_t estimate_ms) {
  return {{"count", count}, {"cpu", 1000}, {"memMb", 256}, {"estimateMs", estimate_ms}};
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Sends SIGTERM to the leader and starts it again, and returns when that machine is in touch and the site calm again.
/// @return false if no leader was found
bool RestartLeader(Site& site) {
  const int leader = site.FindLeader();
  if (leader < 0) return false;
  site.Signal(leader, SIGTERM);
  site.Restart(leader);
  return site.WaitUntilReady(10'000);
}

/// A scheduled submission whose occurrences overlap.
int Occurrences(const Case& c) {
  if (!SetUp(c.site, 6)) return c.Fail("the entries were not ready");
  SleepMs(2'000);
  const std::string scheduled = "5c0e7a21d94b36f8";
  const std::string other = "77aa7a21d94b0001";
  const std::string later = "77aa7a21d94b0002";
  const int repeats = c.has_trouble ? 20 : 2;
  const json::object body{
      {"spec", "0:ms=60000,end=done"},
      {"steps", json::array{json::object{{"count", 300}, {"cpu", 10}, {"memMb", 16}, {"estimateMs", 60'000}}}},
      {"repeatCount", repeats},
      {"startAtMs", UnixMs() + 1'000},
      {"intervalMs", 1'000}};
  if (c.site.Submit("/lohu930/", scheduled, json::serialize(body), kTries).status != 200) {
    return c.Fail("the scheduled submission was not accepted");
  }
  SleepMs(2'000);
  json::object second = Step(2, 2'000);
  second["after"] = json::array{0};
  const json::array steps{Step(1, 12'000), second};
  const std::int64_t accepted = NowMs();
  if (c.site.Submit("/pule252/", other, Body("0:ms=12000,end=done;1:ms=2000,end=done", steps), kTries).status != 200) {
    return c.Fail("the other submission was not accepted");
  }
  SleepMs(12'000);
  const Answer answer = c.site.Submit("/pule252/", later, Body("0:ms=1000,end=done", {Step(1, 1'000)}), kTries);
  const std::int64_t end_of_traffic = NowMs();
  while (NowMs() < end_of_traffic + kFinishMs + kCalmMs) {
    c.site.RestartEnded();
    SleepMs(200);
  }
  c.site.Get("/pule252/" + other, 3);
  c.site.Get("/lohu930/" + scheduled, 3);
  const std::vector<RunHistory> history = c.site.HistoryOf(other);
  const std::int64_t idle = LongestIdle(history, accepted + 1'000, DoneOrNow(history, 3));
  return c.Judge(idle >= kIdleMs + kCalmMs,
                 "LOST: the accepted submission " + other + " had nothing running for " + Seconds(idle) +
                     "; its ends `done`: " + std::to_string(CountEnds(history, "done")) +
                     " of 3; a submission handed in meanwhile was answered " + std::to_string(answer.status) +
                     " after " + std::to_string(answer.tries) + " tries; transactions rejected by the store: " +
                     std::to_string(c.site.store().oversized_transactions()));
}

/// A route is removed while its accepted submission runs, and the leader is restarted.
int RemovedRoute(const Case& c) {
  if (!SetUp(c.site, 6)) return c.Fail("the entries were not ready");
  SleepMs(2'000);
  const std::string id = "5c0e7a21d94b36f8";
  json::object second = Step(2, 2'000);
  second["after"] = json::array{0};
  const json::array steps{Step(1, 8'000), second};
  if (c.site.Submit("/lohu930/", id, Body("0:ms=8000,end=done;1:ms=2000,end=done", steps), kTries).status != 200) {
    return c.Fail("the submission was not accepted");
  }
  SleepMs(1'000);
  c.site.PutConfig(11, {kRoutes[1], kRoutes[2]});
  SleepMs(2'500);
  if (c.has_trouble && !RestartLeader(c.site)) return c.Fail("no leader");
  const std::int64_t calm = NowMs() + (c.has_trouble ? kContactMs + kCalmMs : 0);
  while (c.site.CountRunning(id) > 0 || NowMs() < calm) SleepMs(50);
  SleepMs(12'000);
  const std::vector<RunHistory> history = c.site.HistoryOf(id);
  const std::int64_t idle = LongestIdle(history, calm, DoneOrNow(history, 3));
  const int done = CountEnds(history, "done");
  return c.Judge(done < 3 && idle >= kIdleMs, "LOST: the accepted submission " + id + " has " + std::to_string(done) +
                                                  " of 3 tasks done and had nothing running for " + Seconds(idle) +
                                                  " of calm");
}

/// A task that lasts ends `done`.
int LastingEndsDone(const Case& c) {
  if (!SetUp(c.site, 6)) return c.Fail("the entries were not ready");
  SleepMs(2'000);
  const std::string id = "5c0e7a21d94b36f8";
  json::object step = Step(2, 5'000);
  step["longRunning"] = true;
  const std::string spec = c.has_trouble ? "0:lasts,ms=5000,end=done" : "0:lasts";
  if (c.site.Submit("/lohu930/", id, Body(spec, {step}), kTries).status != 200) {
    return c.Fail("the submission was not accepted");
  }
  SleepMs(24'000);
  const Answer state = c.site.Get("/lohu930/" + id, 3);
  const std::vector<RunHistory> history = c.site.HistoryOf(id);
  std::int64_t last_end = 0;
  for (const RunHistory& run : history) last_end = std::max(last_end, run.ended_ms);
  constexpr std::int64_t kAfterLastRunMs = 6'000;
  const std::int64_t idle = c.site.CountRunning(id) > 0 ? 0 : NowMs() - (last_end + kAfterLastRunMs);
  return c.Judge(idle >= kIdleMs, "LOST: tasks at work: " + std::to_string(c.site.CountRunning(id)) +
                                      " of 2, runs: " + std::to_string(history.size()) + ", nothing running for " +
                                      Seconds(std::max<std::int64_t>(0, idle)) +
                                      " from 6 s after the last run; shown as " + state.body);
}

/// A task that takes minutes, as its estimate says.
int LongTask(const Case& c) {
  if (!SetUp(c.site, 6)) return c.Fail("the entries were not ready");
  SleepMs(2'000);
  const std::string id = "5c0e7a21d94b36f8";
  const std::int64_t ms = c.has_trouble ? 600'000 : 20'000;
  json::object step = Step(1, ms);
  step["requiredLabel"] = "b";
  const std::int64_t sent = NowMs();
  if (c.site.Submit("/lohu930/", id, Body("0:ms=" + std::to_string(ms) + ",end=done", {step}), kTries).status != 200) {
    return c.Fail("the submission was not accepted");
  }
  SleepMs(30'000);
  const std::vector<RunHistory> history = c.site.HistoryOf(id);
  const std::int64_t idle = LongestIdle(history, sent + 1'000, DoneOrNow(history, 1));
  return c.Judge(idle >= kIdleMs, "LOST: in 30 s the task of " + Seconds(ms) + " was started " +
                                      std::to_string(history.size()) + " times and stopped " +
                                      std::to_string(CountEnds(history, "stopped")) +
                                      " times; nothing running for up to " + Seconds(idle));
}

/// Submissions whose starts an unhealthy runner rejects are waiting, also for a new leader.
int WaitingCount(const Case& c) {
  if (!SetUp(c.site, 6)) return c.Fail("the entries were not ready");
  c.site.runner("i-7f3a91c0").SetUnhealthy(true);
  SleepMs(2'000);
  json::object step = Step(1, 2'000);
  step["requiredLabel"] = "b";
  constexpr int kSubmissions = 10;
  for (int i = 0; i < kSubmissions; ++i) {
    const std::string id = "5c0e7a21d94b36f" + std::to_string(i);
    if (c.site.Submit("/lohu930/", id, Body("0:ms=2000,end=done", {step}), kTries).status != 200) {
      return c.Fail("a submission was not accepted");
    }
  }
  SleepMs(5'500);
  if (c.has_trouble && !RestartLeader(c.site)) return c.Fail("no leader");
  SleepMs(kContactMs + 1'000);
  const Answer answer = c.site.Get("/lohu930/", 3);
  int begun = 0;
  for (int i = 0; i < kSubmissions; ++i) {
    begun += c.site.HistoryOf("5c0e7a21d94b36f" + std::to_string(i)).empty() ? 0 : 1;
  }
  json::error_code ec;
  const json::value body = json::parse(answer.body, ec);
  if (answer.status != 200 || ec) return c.Fail("no number of waiting submissions");
  const auto waiting = body.at("waiting").to_number<std::int64_t>();
  return c.Judge(waiting * 2 < kSubmissions - begun,
                 "MIXED: given as waiting: " + std::to_string(waiting) +
                     "; accepted over 5 s before and not begun: " + std::to_string(kSubmissions - begun));
}

/// A schedule without an end in sight: the largest whole number that JSON readers agree on.
int RepeatCount(const Case& c) {
  if (!SetUp(c.site, 6)) return c.Fail("the entries were not ready");
  SleepMs(2'000);
  constexpr std::int64_t kForEver = 9'007'199'254'740'991;
  constexpr std::int64_t kDay = 24;
  const json::object body{{"spec", "0:ms=1000,end=done"},
                          {"steps", json::array{Step(1, 1'000)}},
                          {"repeatCount", c.has_trouble ? kForEver : kDay},
                          {"startAtMs", UnixMs() + 1'000},
                          {"intervalMs", 3'600'000}};
  Answer answer;
  std::atomic<bool> is_open = true;
  std::thread([&] {
    answer = c.site.Submit("/lohu930/", "5c0e7a21d94b36f8", json::serialize(body), kTries);
    is_open = false;
  }).detach();
  while (is_open) {
    c.site.RestartEnded();
    SleepMs(50);
  }
  SleepMs(2'000);
  c.site.RestartEnded();
  constexpr int kEndsInADay = 3;
  constexpr int kMachines = 2;
  const int machines = c.site.CountEntriesThatEnded(kEndsInADay);
  std::string statuses;
  for (const int status : answer.all) statuses += " " + std::to_string(status);
  return c.Judge(machines >= kMachines,
                 "Fault: entries whose process ended by itself: " + std::to_string(c.site.CountEntriesThatEnded(1)) +
                     " of 3, three times: " + std::to_string(machines) + "; answers (0: none):" + statuses);
}

/// A gang that no runner can ever hold.
int HopelessGang(const Case& c) {
  if (!SetUp(c.site, 6)) return c.Fail("the entries were not ready");
  SleepMs(2'000);
  const std::string gang = "5c0e7a21d94b36f8";
  const std::string other = "77aa7a21d94b0001";
  json::object member = Step(2, 60'000);
  member["gang"] = true;
  // A runner has 32 cores.
  member["cpu"] = c.has_trouble ? 48'000 : 16'000;
  // One message of this queue in 20 is hopeless, within 3 s.
  constexpr int kMessages = 20;
  for (int i = 0; i < kMessages; ++i) {
    const bool is_gang = i == kMessages / 2;
    const std::string id = is_gang ? gang : "66aa7a21d94b00" + std::to_string(10 + i);
    const std::string body =
        is_gang ? Body("0:ms=60000,end=done", {member}) : Body("0:ms=1000,end=done", {Step(1, 1'000)});
    if (c.site.Submit("/lohu930/", id, body, kTries).status != 200) return c.Fail("a submission was not accepted");
    SleepMs(50);
  }
  SleepMs(3'000);
  const std::int64_t accepted = NowMs();
  if (c.site.Submit("/pufi791/", other, Body("0:ms=1000,end=done", {Step(4, 1'000)}), kTries).status != 200) {
    return c.Fail("the other submission was not accepted");
  }
  SleepMs(25'000);
  c.site.Get("/pufi791/" + other, 3);
  const std::vector<RunHistory> history = c.site.HistoryOf(other);
  const std::int64_t idle = LongestIdle(history, accepted, DoneOrNow(history, 4));
  return c.Judge(idle >= kIdleMs + kCalmMs,
                 "LOST: the accepted submission " + other + " had nothing running for " + Seconds(idle) +
                     "; its ends `done`: " + std::to_string(CountEnds(history, "done")) +
                     " of 4; runs of the gang: " + std::to_string(c.site.HistoryOf(gang).size()));
}

const std::map<std::string, std::function<int(const Case&)>> kCases = {
    {"occurrences", Occurrences},    {"hopeless-gang", HopelessGang},        {"repeat-count", RepeatCount},
    {"removed-route", RemovedRoute}, {"lasting-ends-done", LastingEndsDone}, {"long-task", LongTask},
    {"waiting-count", WaitingCount},
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: review-case CASE FOLDER\n");
    return review::kNotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  const std::string name = argv[1];
  const char* trouble = getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  review::Record record(std::string(argv[2]) + "/record.txt");
  std::string folder = (std::filesystem::temp_directory_path() / "jaymast-review-XXXXXX").string();
  if (!record.is_open() || mkdtemp(folder.data()) == nullptr) return review::kNotRun;
  record.Write("case " + name + ", " + (has_trouble ? "with" : "without") + " the disruption");
  int result = review::kNotRun;
  {
    const auto program = std::filesystem::absolute("target/jaymast-platform-entry").string();
    auto site = std::make_unique<review::Site>(record, folder, program);
    const auto found = review::kCases.find(name);
    if (found != review::kCases.end()) result = found->second({*site, record, has_trouble});
    // Threads of the stand-ins still refer to the site, so it stays.
    site.release()->EndProcesses();
  }
  std::filesystem::remove_all(folder);
  std::printf("%s: %s\n", name.c_str(), result == 0 ? "held" : (result == 1 ? "BROKEN" : "could not run"));
  std::fflush(nullptr);
  _Exit(result);
}
