#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "model/cluster_config.h"
#include "testing/invariants/violation.h"
#include "testing/session_callers.h"
#include "testing/session_entry.h"
#include "testing/session_platform.h"
#include "testing/session_runner.h"
#include "testing/session_script.h"
#include "testing/session_world.h"

namespace jaymast {

/// Plays a scripted session of several entries, one table service and several runners in one thread with a fake
/// clock. The same text gives the same trace byte for byte. docs/sessions.md lists the commands.
class SessionPlayer {
 public:
  SessionPlayer();
  ~SessionPlayer();
  SessionPlayer(const SessionPlayer&) = delete;
  SessionPlayer& operator=(const SessionPlayer&) = delete;

  /// Plays a whole session.
  /// @return the first line that is not a command, if there is one
  std::optional<Error> Play(std::string_view text);

  /// Events and replies to callers, one a line.
  const std::string& trace() const { return m_world.trace; }
  const std::vector<Event>& events() const { return m_world.events; }
  const Facts& facts() const { return m_world.facts; }
  const std::vector<std::string>& failed_expectations() const { return m_world.failed_expectations; }

  /// Runs the checkers of all guarantees over the session.
  std::vector<Violation> Check() const;

 private:
  using Action = void (SessionPlayer::*)(const SessionCommand&);

  static const std::map<std::string_view, Action>& Actions();

  void AddEntry(const SessionCommand& command);
  void AddUpstream(const SessionCommand& command);
  void AddTeam(const SessionCommand& command);
  void AddKey(const SessionCommand& command);
  void Submit(const SessionCommand& command) { m_callers.Submit(command); }
  void Preview(const SessionCommand& command) { m_callers.Preview(command); }
  void QueryStatus(const SessionCommand& command) { m_callers.QueryStatus(command); }
  void Cancel(const SessionCommand& command) { m_callers.Cancel(command); }
  void MakePlan(const SessionCommand& command) { m_callers.MakePlan(command); }
  void Confirm(const SessionCommand& command) { m_callers.Confirm(command); }
  void QueryView(const SessionCommand& command) { m_callers.QueryView(command); }
  void PauseEntry(const SessionCommand& command);
  void ResumeEntry(const SessionCommand& command);
  void KillEntry(const SessionCommand& command);
  void RestartEntry(const SessionCommand& command);
  void StopEntry(const SessionCommand& command);
  void CutLink(const SessionCommand& command);
  void HealLink(const SessionCommand& command);
  void CutPlatform(const SessionCommand& command);
  void HealPlatform(const SessionCommand& command);
  void SetStore(const SessionCommand& command);
  void LoseAnswers(const SessionCommand& command);
  void SetLag(const SessionCommand& command);
  void Leave(const SessionCommand& command);
  void FailRunner(const SessionCommand& command);
  void HangRunner(const SessionCommand& command);
  void CrashRunner(const SessionCommand& command);
  void RestartRunner(const SessionCommand& command);
  void DelayAnswers(const SessionCommand& command);
  void Expect(const SessionCommand& command);
  void ExpectSettled(const SessionCommand& command);
  void RunUntil(const SessionCommand& command);
  void SetSeed(const SessionCommand& command);

  void Fail(const SessionCommand& command, const std::string& reason);
  void ExpectEqual(const SessionCommand& command, std::string_view expected, std::string_view actual);
  SessionEntry* FindEntry(const SessionCommand& command);
  SessionRunner* FindRunner(const SessionCommand& command);

  SessionWorld m_world;
  SessionPlatform m_platform;
  SessionCallers m_callers;
  std::map<std::string, std::unique_ptr<SessionRunner>> m_runners;
  std::map<std::string, std::unique_ptr<SessionEntry>> m_entries;
  ClusterConfig m_initial_config;
  std::uint64_t m_seed = 0;
};

}  // namespace jaymast
