#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"
#include "store.h"

namespace review {

/// What the tasks of one step do, as the `spec` of the submission says: `STEP:ms=N,end=HOW[,lasts]`, joined by `;`.
struct Work {
  std::int64_t ms = 0;       ///< duration, 0 for a task that does not end by itself
  std::string end = "done";  ///< how the run ends
  bool lasts = false;        ///< a task that lasts: its percent is 100 after a short startup
};

Work ParseWork(const std::string& spec, int step);

/// One run on a runner, as the runner saw it.
struct RunHistory {
  std::string task;
  std::int64_t run = 0;
  std::string runner;
  std::int64_t started_ms = 0;
  std::int64_t ended_ms = -1;  ///< -1 while it runs
  std::string how;
};

/// Stand-in of a sound runner with leases, fencing tokens and lists of runs and ends.
class Runner {
 public:
  Runner(Record& record, Store& store, std::string id, std::string zone, std::vector<std::string> labels,
         std::int64_t cpu);

  const std::string& id() const { return m_id; }
  std::vector<RunHistory> History() const;

  /// While set, the runner is unhealthy: it rejects starts with 503 and does nothing.
  void SetUnhealthy(bool is_unhealthy);
  /// Writes the entry of this runner to the store.
  void SendHeartbeat();

 private:
  struct Run {
    std::int64_t run = 0;
    Work work;
    std::int64_t started_ms = 0;
    std::int64_t stopping_until = -1;
    std::size_t history = 0;
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };

  void Handle(const Request& request, Response& response);
  unsigned Start(const json::object& body, std::string& reason);
  unsigned Stop(const json::object& body, std::string& reason);
  void Hold(const json::object& body, Response& response);
  bool IsFenced(const json::object& body);
  void ExtendLease(const json::object& body);
  void RunTasks();
  void EndRun(const std::string& task, const std::string& how);
  std::int64_t ClockMs() const { return NowMs() + m_clock_offset_ms; }
  static std::int64_t Percent(const Run& run);

  Record& m_record;
  Store& m_store;
  const std::string m_id;
  const std::string m_zone;
  const std::vector<std::string> m_labels;
  const std::int64_t m_cpu;
  const std::int64_t m_born;
  const std::int64_t m_clock_offset_ms = 5'000;
  mutable std::mutex m_mutex;
  std::condition_variable m_ended;
  std::map<std::string, Run> m_running;
  std::map<std::string, std::int64_t> m_highest_run;
  std::vector<End> m_ends;
  std::vector<RunHistory> m_history;
  std::int64_t m_end_count = 0;
  std::int64_t m_token = 0;
  std::int64_t m_lease_until = 0;
  std::int64_t m_sequence = 0;
  bool m_is_unhealthy = false;
  HttpServer m_server;
};

}  // namespace review
