#include "testing/session_player.h"

#include <chrono>
#include <set>
#include <utility>

#include "base/hash.h"
#include "tasks/journal_record.h"
#include "testing/invariants/check_all.h"

namespace jaymast {
namespace {

constexpr std::int64_t kCpuPerSlot = 4000;
constexpr std::int64_t kMemoryPerSlot = 16384;

/// Tasks whose end is recorded in the journal.
std::set<TaskId> RecordedEnds(const std::map<std::string, Row>& rows) {
  constexpr std::string_view kJournalPrefix = "task/";
  std::set<TaskId> ended;
  for (auto row = rows.lower_bound(std::string(kJournalPrefix)); row != rows.end(); ++row) {
    if (!row->first.starts_with(kJournalPrefix)) break;
    const Result<std::vector<JournalRecord>> records = DecodeRecords(row->second.value);
    if (!records) continue;
    for (const JournalRecord& record : *records) {
      if (record.kind == JournalRecordKind::kEnded) ended.insert(record.id.task);
    }
  }
  return ended;
}

}  // namespace

SessionPlayer::SessionPlayer()
    : m_platform(m_world), m_callers(m_world, [this](const std::string& to, RequestId id, const Request& request) {
        const auto entry = m_entries.find(to);
        if (entry == m_entries.end()) return m_callers.OnReply(id, nullptr);
        entry->second->OnRequest(id, request);
      }) {
  m_initial_config.version = 1;
}

SessionPlayer::~SessionPlayer() = default;

std::optional<Error> SessionPlayer::Play(std::string_view text) {
  const Result<std::vector<SessionCommand>> commands = ParseSession(text);
  if (!commands) return commands.error();
  for (const SessionCommand& command : *commands) {
    const auto action = Actions().find(command.verb);
    if (action == Actions().end()) {
      return Error{ErrorId::kInputSyntax, "line " + std::to_string(command.line), "unknown verb " + command.verb};
    }
    m_world.clock.RunUntil(command.at);
    (this->*action->second)(command);
  }
  return std::nullopt;
}

std::vector<Violation> SessionPlayer::Check() const { return CheckAllInvariants(m_world.facts, m_world.events); }

const std::map<std::string_view, SessionPlayer::Action>& SessionPlayer::Actions() {
  static const std::map<std::string_view, Action> kActions = {
      {"entry", &SessionPlayer::AddEntry},
      {"upstream", &SessionPlayer::AddUpstream},
      {"team", &SessionPlayer::AddTeam},
      {"key", &SessionPlayer::AddKey},
      {"submit", &SessionPlayer::Submit},
      {"preview", &SessionPlayer::Preview},
      {"status", &SessionPlayer::QueryStatus},
      {"cancel", &SessionPlayer::Cancel},
      {"plan", &SessionPlayer::MakePlan},
      {"confirm", &SessionPlayer::Confirm},
      {"view", &SessionPlayer::QueryView},
      {"pause", &SessionPlayer::PauseEntry},
      {"resume", &SessionPlayer::ResumeEntry},
      {"kill", &SessionPlayer::KillEntry},
      {"restart", &SessionPlayer::RestartEntry},
      {"stop", &SessionPlayer::StopEntry},
      {"cut", &SessionPlayer::CutLink},
      {"heal", &SessionPlayer::HealLink},
      {"cut-platform", &SessionPlayer::CutPlatform},
      {"heal-platform", &SessionPlayer::HealPlatform},
      {"store", &SessionPlayer::SetStore},
      {"lose-answers", &SessionPlayer::LoseAnswers},
      {"lag", &SessionPlayer::SetLag},
      {"leave", &SessionPlayer::Leave},
      {"runner-fail", &SessionPlayer::FailRunner},
      {"runner-hang", &SessionPlayer::HangRunner},
      {"runner-down", &SessionPlayer::CrashRunner},
      {"runner-up", &SessionPlayer::RestartRunner},
      {"delay-answers", &SessionPlayer::DelayAnswers},
      {"expect", &SessionPlayer::Expect},
      {"expect-settled", &SessionPlayer::ExpectSettled},
      {"run-until", &SessionPlayer::RunUntil},
      {"seed", &SessionPlayer::SetSeed},
  };
  return kActions;
}

void SessionPlayer::AddEntry(const SessionCommand& command) {
  EntrySettings settings;
  settings.name = command.Word(0);
  settings.domain = DomainId(command.Option("domain"));
  settings.peer_address = "127.0.0.1:" + std::to_string(7001 + m_entries.size());
  settings.initial_config = m_initial_config;
  settings.max_retained_outcomes = command.Number("retain", settings.max_retained_outcomes);
  m_world.network.Place(settings.name, settings.domain.value());
  SessionEntry::Surroundings surroundings{
      m_world, m_platform, m_entries, m_runners,
      [this](RequestId id, const Response* response) { m_callers.OnReply(id, response); }};
  const std::uint64_t seed = StableHash(settings.name) + m_seed;
  auto entry = std::make_unique<SessionEntry>(std::move(surroundings), settings, seed);
  SessionEntry& started = *entry;
  m_entries[command.Word(0)] = std::move(entry);
  started.Start();
}

void SessionPlayer::AddUpstream(const SessionCommand& command) {
  UpstreamInfo info;
  info.id = UpstreamId(command.Word(0));
  info.domain = DomainId(command.Option("domain"));
  info.rack = command.Option("rack", "r1");
  info.address = "127.0.0.1:" + std::to_string(8001 + m_runners.size());
  info.capacity.slots = command.Number("slots", 8);
  info.capacity.cpu_millis = command.Number("cpu", info.capacity.slots * kCpuPerSlot);
  info.capacity.memory_mb = command.Number("memory", info.capacity.slots * kMemoryPerSlot);
  info.capacity.accelerators = command.Number("accelerators", 0);
  info.connections = command.Number("connections", 64);
  m_world.network.Place(info.id.value(), info.domain.value());
  m_world.facts.upstreams[info.id] = info;
  m_platform.SetUpstream(info);
  m_runners[command.Word(0)] = std::make_unique<SessionRunner>(m_world, info);
}

void SessionPlayer::AddTeam(const SessionCommand& command) {
  m_initial_config.teams[TeamId(command.Word(0))] = Team{command.Number("share", 1), command.Number("limit", 100)};
}

void SessionPlayer::AddKey(const SessionCommand& command) {
  const Role role = FromString<Role>(command.Option("role", "submitter")).value_or(Role::kSubmitter);
  const std::string hash = Sha256Hex(SessionCallers::SecretOf(command.Word(0)));
  m_initial_config.keys[KeyId(command.Word(0))] = ApiKey{hash, TeamId(command.Option("team")), role};
  m_callers.AddKey(command.Word(0), command.Option("team"));
}

SessionEntry* SessionPlayer::FindEntry(const SessionCommand& command) {
  const auto entry = m_entries.find(command.Word(0));
  if (entry != m_entries.end()) return entry->second.get();
  Fail(command, "no such entry");
  return nullptr;
}

SessionRunner* SessionPlayer::FindRunner(const SessionCommand& command) {
  const auto runner = m_runners.find(command.Word(0));
  if (runner != m_runners.end()) return runner->second.get();
  Fail(command, "no such upstream");
  return nullptr;
}

void SessionPlayer::PauseEntry(const SessionCommand& command) {
  m_world.EmitFault(command.text);
  if (SessionEntry* entry = FindEntry(command)) entry->Pause();
}

void SessionPlayer::ResumeEntry(const SessionCommand& command) {
  m_world.EmitFault(command.text);
  if (SessionEntry* entry = FindEntry(command)) entry->Resume();
}

void SessionPlayer::KillEntry(const SessionCommand& command) {
  m_world.EmitFault(command.text);
  if (SessionEntry* entry = FindEntry(command)) entry->Kill();
}

void SessionPlayer::RestartEntry(const SessionCommand& command) {
  m_world.Note("session " + command.text);
  SessionEntry* entry = FindEntry(command);
  if (entry == nullptr) return;
  entry->Kill();
  entry->Start();
}

void SessionPlayer::StopEntry(const SessionCommand& command) {
  m_world.Note("session " + command.text);
  if (SessionEntry* entry = FindEntry(command)) entry->StopGracefully();
}

void SessionPlayer::CutLink(const SessionCommand& command) {
  m_world.EmitFault(command.text);
  m_world.network.Cut(command.Word(0), command.Word(1));
}

void SessionPlayer::HealLink(const SessionCommand& command) {
  m_world.EmitFault(command.text);
  if (command.words.empty()) return m_world.network.HealAll();
  m_world.network.Heal(command.Word(0), command.Word(1));
}

void SessionPlayer::CutPlatform(const SessionCommand& command) {
  m_world.EmitFault(command.text);
  m_world.network.Cut(command.Word(0), kPlatform);
}

void SessionPlayer::HealPlatform(const SessionCommand& command) {
  m_world.EmitFault(command.text);
  m_world.network.Heal(command.Word(0), kPlatform);
}

void SessionPlayer::SetStore(const SessionCommand& command) {
  m_world.EmitFault(command.text);
  m_platform.SetDown(command.Word(0) == "down");
  m_platform.SetDelay(std::chrono::milliseconds(command.Number("delay", 0)));
}

void SessionPlayer::LoseAnswers(const SessionCommand& command) {
  m_world.EmitFault(command.text);
  m_platform.LoseAnswers(std::strtoll(command.Word(0).c_str(), nullptr, 10));
}

void SessionPlayer::SetLag(const SessionCommand& command) {
  m_platform.SetLag(std::chrono::milliseconds(std::strtoll(command.Word(0).c_str(), nullptr, 10)));
}

void SessionPlayer::Leave(const SessionCommand& command) {
  m_world.EmitFault(command.text);
  SessionRunner* runner = FindRunner(command);
  if (runner == nullptr) return;
  runner->info().leaving = true;
  m_platform.SetUpstream(runner->info());
}

void SessionPlayer::FailRunner(const SessionCommand& command) {
  m_world.EmitFault(command.text);
  SessionRunner* runner = FindRunner(command);
  if (runner == nullptr) return;
  RunnerFaults faults;
  faults.fail = command.Word(1) != "off";
  runner->SetFaults(faults);
}

void SessionPlayer::HangRunner(const SessionCommand& command) {
  m_world.EmitFault(command.text);
  SessionRunner* runner = FindRunner(command);
  if (runner == nullptr) return;
  RunnerFaults faults;
  faults.hang = command.Word(1) != "off";
  runner->SetFaults(faults);
}

void SessionPlayer::CrashRunner(const SessionCommand& command) {
  m_world.EmitFault(command.text);
  if (SessionRunner* runner = FindRunner(command)) runner->Crash();
}

void SessionPlayer::RestartRunner(const SessionCommand& command) {
  m_world.EmitFault(command.text);
  if (SessionRunner* runner = FindRunner(command)) runner->Restart();
}

void SessionPlayer::DelayAnswers(const SessionCommand& command) {
  m_world.EmitFault(command.text);
  SessionRunner* runner = FindRunner(command);
  if (runner == nullptr) return;
  runner->DelayAnswers(command.Number("count", 1), std::chrono::milliseconds(command.Number("delay", 100)));
}

void SessionPlayer::RunUntil(const SessionCommand& command) { m_world.clock.RunUntil(command.at); }

void SessionPlayer::SetSeed(const SessionCommand& command) {
  m_seed = std::strtoull(command.Word(0).c_str(), nullptr, 10);
}

void SessionPlayer::Fail(const SessionCommand& command, const std::string& reason) {
  const std::string text = "line " + std::to_string(command.line) + ": " + command.text + ": " + reason;
  m_world.failed_expectations.push_back(text);
  m_world.Note("failed " + text);
}

void SessionPlayer::ExpectEqual(const SessionCommand& command, std::string_view expected, std::string_view actual) {
  if (expected != actual) Fail(command, "got " + std::string(actual));
}

void SessionPlayer::Expect(const SessionCommand& command) {
  const Response* response = m_callers.Find(command.Word(0));
  if (response == nullptr) return Fail(command, "no response yet");
  const std::string status = command.Option("status");
  if (!status.empty()) ExpectEqual(command, status, std::to_string(response->status));
  const std::string verdict = command.Option("verdict");
  if (!verdict.empty()) ExpectEqual(command, verdict, ToString(response->verdict));
  const std::string error = command.Option("error");
  if (!error.empty()) ExpectEqual(command, error, response->error ? ToString(response->error->id) : "none");
  const std::string part = command.Option("contains");
  if (response->body.find(part) == std::string::npos) Fail(command, "got body " + response->body);
}

void SessionPlayer::ExpectSettled(const SessionCommand& command) {
  std::set<TaskId> open;
  for (const Event& event : m_world.events) {
    if (event.kind == EventKind::kTaskAccepted) open.insert(event.task);
  }
  for (const Event& event : m_world.events) {
    if (event.kind == EventKind::kTaskEnded) open.erase(event.task);
  }
  // The home may have crashed between the record of the end and its event.
  for (const TaskId& task : RecordedEnds(m_platform.rows())) open.erase(task);
  for (const TaskId& task : open) Fail(command, "task " + task.value() + " has not ended");
  for (const auto& [id, record] : m_world.facts.callers) {
    if (!record.response && !record.closed) Fail(command, "request " + std::to_string(id) + " has no response");
  }
}

}  // namespace jaymast
