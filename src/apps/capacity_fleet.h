#pragma once

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "apps/capacity_entry.h"
#include "base/hash.h"

namespace jaymast {

/// Size of a measured fleet.
struct FleetSize {
  std::int64_t entries = 12;
  std::int64_t upstreams = 200;
  std::int64_t teams = 50;
  std::int64_t tasks = 500;   ///< tasks that run during the whole measurement, a fifth of them services
  std::int64_t starts = 0;    ///< durable tasks submitted a second, a fifth of them urgent; each runs for 1 s
  std::int64_t previews = 0;  ///< previews submitted a second; each runs for 50 ms
};

/// Several decision cores with fakes of the table service and of the runners, under a fake clock.
class CapacityFleet {
 public:
  CapacityFleet(const FleetSize& size, std::uint64_t seed) : m_size(size) {
    m_parts.on_reply = [this](RequestId id, const Response& response) { OnReply(id, response); };
    AddUpstreams();
    const ClusterConfig config = MakeConfig();
    for (std::int64_t i = 0; i < size.entries; ++i) AddEntry(i, config, seed);
  }

  /// Starts the fleet and waits until ownership and the long tasks have settled.
  void WarmUp(Duration settle_time) {
    RunFor(kJoinTime);
    SubmitLongTasks();
    m_flow_until = Time::max();
    Flow(m_size.starts, false);
    Flow(m_size.previews, true);
    RunFor(settle_time);
  }

  void RunFor(Duration time) { m_parts.world.clock.RunUntil(Now() + time); }

  /// Sums of all entries over a span of time.
  std::vector<CapacityCounters> Measure(Duration time) {
    for (const auto& [address, entry] : m_parts.entries) entry->counters() = CapacityCounters();
    RunFor(time);
    std::vector<CapacityCounters> counters;
    for (const auto& [address, entry] : m_parts.entries) counters.push_back(entry->counters());
    return counters;
  }

  /// Makes and confirms a plan at the first entry.
  void ChangeConfig() {
    PlanRequest plan;
    plan.secret = "secret-ops";
    plan.intents.emplace_back(SetTeamIntent{TeamId("t0"), Team{2, TeamLimit()}});
    m_plan_request = Ask(0, plan);
  }

  /// Time between the confirmation and the reply that the change is in force at all entries, in milliseconds.
  std::optional<double> in_force_ms() const { return m_in_force_ms; }

  /// Ends the first entry as a crash does and starts it anew.
  void ReplaceEntry() {
    m_parts.entries.begin()->second->Kill();
    m_parts.entries.begin()->second->Start();
  }

  /// Bytes that each core frees when it is destroyed. The fleet is of no use afterwards.
  std::vector<double> TakeMemory() {
    std::vector<double> bytes;
    for (const auto& [address, entry] : m_parts.entries) {
      const double before = AllocatedBytes();
      entry->Kill();
      bytes.push_back(before - AllocatedBytes());
    }
    return bytes;
  }

  std::int64_t ReadyEntries() const {
    return std::count_if(m_parts.entries.begin(), m_parts.entries.end(),
                         [](const auto& item) { return item.second->IsReady(); });
  }

  std::int64_t RunningTasks() const {
    std::int64_t running = 0;
    for (const Event& event : m_parts.world.events) {
      if (event.kind == EventKind::kRunnerStarted) ++running;
      if (event.kind == EventKind::kRunnerEnded) --running;
    }
    return running;
  }

  /// Milliseconds from submission to start of the submitted urgent tasks and of the previews.
  std::vector<double> StartDelays(WorkClass work_class) const {
    std::vector<double> delays;
    for (const Event& event : m_parts.world.events) {
      if (event.kind != EventKind::kRunnerStarted) continue;
      const TaskSpec& spec = m_parts.world.facts.Spec(event.task);
      const auto sent = m_sent.find(spec.body);
      if (spec.work_class == work_class && sent != m_sent.end()) delays.push_back(Millis(event.time - sent->second));
    }
    return delays;
  }

  std::int64_t refused() const { return m_refused; }
  std::int64_t replies() const { return m_replies; }
  std::size_t config_bytes() const { return boost::json::serialize(ToJson(MakeConfig())).size(); }

  /// Records of the table service, by the part of the key before the first slash.
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> TableRows() const {
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> rows;
    for (const auto& [key, row] : m_parts.table.rows()) {
      auto& [count, bytes] = rows[key.substr(0, key.find('/'))];
      ++count;
      bytes += static_cast<std::int64_t>(key.size() + row.value.size());
    }
    return rows;
  }

 private:
  static constexpr std::int64_t kDomains = 6;
  static constexpr std::int64_t kWorkersPerRack = 8;
  static constexpr std::int64_t kSlots = 64;
  static constexpr std::int64_t kAccelerators = 2;
  static constexpr std::int64_t kTotalLimit = 20'000;
  static constexpr std::int64_t kSmallestLimit = 100;
  static constexpr std::int64_t kLongRunMs = 100'000'000;
  static constexpr std::int64_t kShortRunMs = 1000;
  static constexpr std::int64_t kPreviewRunMs = 50;
  static constexpr std::int64_t kTasksPerRequest = 50;
  static constexpr std::size_t kBodyBytes = 256;
  static constexpr Duration kJoinTime = std::chrono::seconds(15);
  static constexpr Duration kPreviewDeadline = std::chrono::seconds(1);

  static double Millis(Duration time) { return static_cast<double>(time.count()) / 1000.0; }

  static double AllocatedBytes() {
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
  }

  Time Now() const { return m_parts.world.clock.Now(); }
  std::int64_t TeamLimit() const { return std::max(kSmallestLimit, kTotalLimit / m_size.teams); }

  /// A small fleet has an entry in each of fewer failure domains.
  DomainId Domain(std::int64_t index) const {
    return DomainId(fmt::format("d{}", index % std::min(kDomains, m_size.entries)));
  }

  void AddUpstreams() {
    for (std::int64_t i = 0; i < m_size.upstreams; ++i) {
      UpstreamInfo info;
      info.id = UpstreamId(fmt::format("u{:04}", i));
      info.domain = Domain(i);
      info.rack = fmt::format("r{}", i / (kDomains * kWorkersPerRack));
      info.address = fmt::format("127.0.0.1:{}", 10'000 + i);
      info.capacity = Resources{kSlots * 1000, kSlots * 2048, kAccelerators, kSlots};
      info.connections = kSlots;
      m_parts.world.network.Place(info.id.value(), info.domain.value());
      m_parts.instances.upstreams.push_back(info);
      m_parts.runners[info.id] = std::make_unique<SessionRunner>(m_parts.world, info);
    }
  }

  ClusterConfig MakeConfig() const {
    ClusterConfig config;
    config.version = 1;
    for (std::int64_t i = 0; i < m_size.teams; ++i) {
      const TeamId team(fmt::format("t{}", i));
      config.teams[team] = Team{1, TeamLimit()};
      config.keys[KeyId(fmt::format("k{}", i))] =
          ApiKey{Sha256Hex(fmt::format("secret-{}", i)), team, Role::kSubmitter};
    }
    config.keys[KeyId("ops")] = ApiKey{Sha256Hex("secret-ops"), TeamId("t0"), Role::kOperator};
    return config;
  }

  void AddEntry(std::int64_t index, const ClusterConfig& config, std::uint64_t seed) {
    EntrySettings settings;
    settings.name = fmt::format("e{:02}", index);
    settings.domain = Domain(index);
    settings.peer_address = fmt::format("127.0.0.1:{}", 7000 + index);
    settings.initial_config = config;
    m_parts.world.network.Place(settings.name, settings.domain.value());
    auto entry = std::make_unique<CapacityEntry>(m_parts, settings, seed + static_cast<std::uint64_t>(index));
    m_addresses.push_back(settings.peer_address);
    CapacityEntry& started = *entry;
    m_parts.entries[settings.peer_address] = std::move(entry);
    m_parts.world.clock.At(Now() + std::chrono::milliseconds(index), [&started] { started.Start(); });
  }

  RequestId Ask(std::int64_t entry, const Request& request) {
    const RequestId id = ++m_last_request;
    const std::string& address = m_addresses[static_cast<std::size_t>(entry % m_size.entries)];
    m_parts.entries.at(address)->Run([&](EntryCore& core) { core.OnRequest(id, request); });
    return id;
  }

  TaskSpec MakeSpec(WorkClass work_class, std::int64_t run_ms) {
    TaskSpec spec;
    const std::int64_t number = ++m_last_task;
    spec.team = TeamId(fmt::format("t{}", number % m_size.teams));
    spec.kind = "check";
    spec.work_class = work_class;
    spec.demand = Resources{1000, 1024, 0, 1};
    spec.declared_run_ms = run_ms;
    spec.body = fmt::format(R"({{"run_ms":{},"n":"{}"}})", run_ms, number);
    spec.body.insert(spec.body.size() - 1, kBodyBytes - spec.body.size(), ' ');
    return spec;
  }

  std::string SecretOf(const TaskSpec& spec) const { return "secret-" + spec.team.value().substr(1); }

  void SubmitLongTasks() {
    constexpr std::int64_t kServicePart = 5;
    std::map<std::string, SubmitRequest> requests;  // by secret: one request carries tasks of one team
    for (std::int64_t i = 0; i < m_size.tasks; ++i) {
      const bool is_service = i / m_size.teams % kServicePart == 0;
      TaskSpec spec = MakeSpec(is_service ? WorkClass::kService : WorkClass::kBatch, kLongRunMs);
      const std::string secret = SecretOf(spec);
      requests[secret].specs.push_back(std::move(spec));
    }
    std::int64_t entry = 0;
    for (auto& [secret, request] : requests) {
      for (auto part = request.specs.begin(); part != request.specs.end();) {
        const auto end = part + std::min<std::int64_t>(kTasksPerRequest, request.specs.end() - part);
        Ask(entry++, SubmitRequest{secret, {part, end}, Time()});
        part = end;
      }
    }
  }

  /// Submits work at a constant rate, to the entries in turn.
  void Flow(std::int64_t rate, bool is_preview) {
    if (rate == 0 || Now() >= m_flow_until) return;
    constexpr std::int64_t kUrgentPart = 5;
    const bool is_urgent = m_last_task % kUrgentPart == 0;
    const WorkClass durable = is_urgent ? WorkClass::kUrgent : WorkClass::kBatch;
    const TaskSpec spec =
        MakeSpec(is_preview ? WorkClass::kPreview : durable, is_preview ? kPreviewRunMs : kShortRunMs);
    m_sent[spec.body] = Now();
    const std::string secret = SecretOf(spec);
    if (is_preview) {
      Ask(m_next_entry++, PreviewRequest{secret, spec, Now() + kPreviewDeadline});
    } else {
      Ask(m_next_entry++, SubmitRequest{secret, {spec}, Time()});
    }
    const Duration interval = Duration(std::chrono::seconds(1)) / rate;
    m_parts.world.clock.After(interval, [this, rate, is_preview] { Flow(rate, is_preview); });
  }

  void OnReply(RequestId id, const Response& response) {
    constexpr int kFirstError = 300;
    ++m_replies;
    if (response.status >= kFirstError) ++m_refused;
    if (id == m_plan_request) {
      // The reply arrives inside a step of the core, so the confirmation is sent later.
      m_parts.world.clock.After(Duration(1), [this, body = response.body] { Confirm(body); });
    }
    if (id != m_confirm_request || id == 0) return;
    const auto reply = boost::json::parse(response.body).as_object();
    if (reply.contains("accepted") && reply.at("accepted").as_bool()) m_in_force_ms = Millis(Now() - m_confirmed_at);
  }

  void Confirm(const std::string& plan) {
    const auto object = boost::json::parse(plan).as_object();
    ConfirmRequest confirm;
    confirm.secret = "secret-ops";
    confirm.plan = PlanId(std::string(object.at("id").as_string()));
    confirm.base_version = object.at("base_version").to_number<std::int64_t>();
    m_confirmed_at = Now();
    m_confirm_request = m_last_request + 1;
    Ask(0, confirm);
  }

  FleetSize m_size;
  CapacitySurroundings m_parts;
  std::vector<std::string> m_addresses;
  std::map<std::string, Time> m_sent;  ///< by body
  RequestId m_last_request = 0;
  RequestId m_plan_request = 0;
  RequestId m_confirm_request = 0;
  std::int64_t m_last_task = 0;
  std::int64_t m_next_entry = 0;
  std::int64_t m_refused = 0;
  std::int64_t m_replies = 0;
  Time m_flow_until;
  Time m_confirmed_at;
  std::optional<double> m_in_force_ms;
};

}  // namespace jaymast
