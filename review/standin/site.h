#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"
#include "runner.h"
#include "store.h"

namespace review {

/// One process of the deploy file.
struct Entry {
  std::string name;
  std::string front;
  std::string ready;
  std::string settings_path;
  pid_t pid = -1;
  int own_ends = 0;  ///< times that the process ended by itself
};

/// How the tries of a call ended.
struct Answer {
  int status = 0;  ///< of the last try, 0 without a response
  std::string body;
  int tries = 0;
  std::vector<int> all;
};

/// One queue of the configuration.
struct Route {
  std::string name;
  std::string prefix;
  int priority = 1;
};

/// A small deployment on loopback addresses: store, runners, entries, operator and consumers.
class Site {
 public:
  Site(Record& record, std::string folder, std::string program);
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  void AddRunner(const std::string& id, std::vector<std::string> labels);
  Runner& runner(const std::string& id);
  Store& store() { return m_store; }

  /// The operator writes a configuration.
  void PutConfig(std::int64_t version, const std::vector<Route>& routes);

  void StartEntries(int count);
  /// Waits until every entry answers its readiness check.
  bool WaitUntilReady(std::int64_t timeout_ms);
  /// Index of the entry that leads, -1 if none does.
  int FindLeader();
  void Signal(int entry, int signal);
  /// Waits for the end of a process and starts it again, as the platform does.
  void Restart(int entry);
  /// Starts processes again that have ended by themselves.
  void RestartEnded();
  /// Entries whose process has ended by itself at least so many times.
  int CountEntriesThatEnded(int times) const;

  /// A consumer submits, and sends the same submission again after no response, 502, 504, 429 or 503.
  Answer Submit(const std::string& route_prefix, const std::string& id, const std::string& body, int max_tries);
  /// One GET, repeated at another entry only without a response.
  Answer Get(const std::string& path, int max_tries);

  /// Ends all processes that this site has started.
  void EndProcesses();

  std::vector<RunHistory> HistoryOf(const std::string& submission) const;
  /// Runs of the submission that are at work now.
  int CountRunning(const std::string& submission) const;

 private:
  void Spawn(Entry& entry);
  Answer Send(http::verb method, const std::string& path, const std::string& body, int max_tries);

  Record& m_record;
  const std::string m_folder;
  const std::string m_program;
  Store m_store;
  std::vector<std::unique_ptr<Runner>> m_runners;
  std::vector<Entry> m_entries;
  std::atomic<std::size_t> m_next_entry = 0;
};

}  // namespace review
