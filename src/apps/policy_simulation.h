#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "apps/policy_workload.h"
#include "placement/admission_queue.h"
#include "placement/estimator.h"
#include "placement/failure_attribution.h"
#include "placement/fair_share.h"
#include "placement/placer.h"

namespace jaymast {

/// A set of policies for all classes of work, as one row of the tables.
struct PolicySet {
  std::string name;
  std::string policy;  ///< policy of every class of work; empty for the default of each class
  QueueOrder order = QueueOrder::kFairShare;
};

struct SimulationSettings {
  ClusterSize size;
  PolicySet policies;
  double load = 0.9;  ///< offered part of the processors; 0 keeps a backlog for each team
  Duration warm_up = std::chrono::minutes(10);
  Duration measured = std::chrono::minutes(10);
  bool domain_out = false;  ///< takes a third of the failure domains out of service for the measured time
  std::uint64_t seed = 1;
};

struct SimulationResult {
  std::vector<double> preview_wait_ms;
  std::vector<double> urgent_wait_ms;
  std::vector<double> gang_wait_ms;
  std::vector<double> round_us;  ///< wall-clock time of each round of offers
  std::size_t starts = 0;
  double packing = 0;            ///< used part of the scarcest resource of the usable capacity
  double bound = 0;              ///< the same for the fractional allocation of all demand
  double work_ratio = 0;         ///< used processor time in the domains in service over that of the bound
  double largest_deviation = 0;  ///< of a team's part of the allocated shares from its entitled part, relative
  double lost_core_seconds = 0;  ///< work that had to be done again after a checkpoint
  double done_core_seconds = 0;
  std::size_t state_bytes = 0;
  std::size_t waiting = 0;  ///< tasks in the queue at the end
};

/// Drives the placement slice with seeded arrivals and a fake clock.
class PolicySimulation {
 public:
  explicit PolicySimulation(const SimulationSettings& settings)
      : m_settings(settings),
        m_workload(settings.size, settings.seed),
        m_placer(settings.seed),
        m_queue(m_shares, kMaxQueue) {
    std::map<WorkClass, std::string> named;
    for (std::size_t i = 0; i < EnumNames<WorkClass>::kNames.size() && !settings.policies.policy.empty(); ++i) {
      named[static_cast<WorkClass>(i)] = settings.policies.policy;
    }
    m_placer.SetPolicies(named);
    m_placer.SetEstimator(&m_estimator);
    m_placer.SetHeadroom(Placer::kDefaultHeadroomPermille, m_workload.Preview(0).spec.demand);
    m_queue.SetOrder(settings.policies.order);
    m_queue.SetEstimator(&m_estimator);
    for (int i = 0; i < settings.size.workers; ++i) AddWorker(m_workload.Worker(i));
    for (int i = 0; i < settings.size.teams; ++i) m_shares.SetWeight(m_workload.Team(i), m_workload.Share(i));
    m_shares.SetCapacity(m_capacity);
  }

  SimulationResult Run() {
    StartServices();
    ScheduleArrivals();
    m_measure_from = m_now + m_settings.warm_up;
    const Time end = m_measure_from + m_settings.measured;
    Schedule(m_now, EventKind::kSecond, 0);
    while (!m_events.empty() && std::get<0>(m_events.top()) < end) {
      m_now = std::get<0>(m_events.top());
      if (!m_domain_is_out && m_settings.domain_out && m_now >= m_measure_from) TakeDomainsOut();
      while (!m_events.empty() && std::get<0>(m_events.top()) == m_now) HandleNext();
      OfferRound();
    }
    Finish();
    return std::move(m_result);
  }

 private:
  enum class EventKind { kPreview, kUrgent, kBatch, kGang, kEnd, kSecond };
  using Event = std::tuple<Time, std::uint64_t, EventKind, std::uint64_t>;

  struct Running {
    std::vector<TaskSpec> members;
    std::vector<UpstreamId> upstreams;
    BenchTask task;
    Time started;
    Time since;
  };

  static constexpr std::size_t kMaxQueue = 200'000;
  static constexpr int kBacklogPerTeam = 40;
  static constexpr double kServicePart = 0.15;
  static constexpr double kPreviewPart = 0.02;
  static constexpr double kUrgentPart = 0.03;
  static constexpr double kGangPart = 0.1;
  static constexpr double kMeanBurst = 40;  ///< batch tasks that arrive at once, as one order
  static constexpr Duration kFullRoundInterval = std::chrono::milliseconds(20);
  static constexpr Duration kCheckpointCost = std::chrono::seconds(2);
  static constexpr std::int64_t kTickMicros = 1'000;  ///< events are handled on ticks of one millisecond

  void AddWorker(const UpstreamInfo& info) {
    m_placer.PutUpstream(info);
    m_placer.SetEligible(info.id, true);
    m_capacity += info.capacity;
    m_workers.emplace(info.id, info);
  }

  double Cores() const { return static_cast<double>(m_capacity.cpu_millis) / 1e3; }

  void Schedule(Time at, EventKind kind, std::uint64_t task) {
    const std::int64_t ticks = (ToMicros(at) + kTickMicros - 1) / kTickMicros;
    m_events.emplace(TimeFromMicros(ticks * kTickMicros), ++m_order, kind, task);
  }

  /// Services run from the start, in proportion to the shares of the teams.
  void StartServices() {
    std::int64_t shares = 0;
    for (int team = 0; team < m_settings.size.teams; ++team) shares += m_workload.Share(team);
    for (int team = 0; team < m_settings.size.teams; ++team) {
      const double part = static_cast<double>(m_workload.Share(team)) / static_cast<double>(shares);
      const int replicas = static_cast<int>(Cores() * kServicePart * part / 4);
      for (int i = 0; i < replicas; ++i) Push(m_workload.Service(team), m_now);
    }
  }

  /// Mean time between arrivals of a class that uses a part of the processors.
  double Interval(EventKind kind) const {
    const bool open = m_settings.load > 0;
    const double batch_part = m_settings.load - kServicePart - kPreviewPart - kUrgentPart - kGangPart;
    switch (kind) {
      case EventKind::kPreview:
        return 2 * PolicyWorkload::kPreviewSeconds / (kPreviewPart * Cores());
      case EventKind::kUrgent:
        return 4 * PolicyWorkload::kUrgentSeconds / (kUrgentPart * Cores());
      case EventKind::kGang:
        return open ? PolicyWorkload::kMeanGangCores * PolicyWorkload::kGangSeconds / (kGangPart * Cores()) : 0;
      default:
        return open ? kMeanBurst * PolicyWorkload::kMeanBatchCores * PolicyWorkload::kMeanBatchSeconds /
                          (batch_part * Cores())
                    : 0;
    }
  }

  void ScheduleArrivals() {
    for (const EventKind kind : {EventKind::kPreview, EventKind::kUrgent, EventKind::kGang, EventKind::kBatch}) {
      ScheduleNext(kind);
    }
  }

  void ScheduleNext(EventKind kind) {
    if (Interval(kind) <= 0) return;
    const double seconds = m_workload.Exponential(Interval(kind));
    Schedule(m_now + Duration(static_cast<std::int64_t>(seconds * 1e6)), kind, 0);
  }

  void HandleNext() {
    const auto [at, order, kind, task] = m_events.top();
    m_events.pop();
    switch (kind) {
      case EventKind::kEnd:
        End(task);
        return;
      case EventKind::kSecond:
        EverySecond();
        return;
      case EventKind::kPreview:
        Push(m_workload.Preview(m_workload.RandomTeam()), m_now);
        break;
      case EventKind::kUrgent:
        Push(m_workload.Urgent(m_workload.RandomTeam()), m_now);
        break;
      case EventKind::kGang:
        Push(m_workload.Gang(m_workload.RandomTeam()), m_now);
        break;
      case EventKind::kBatch:
        PushBurst();
        break;
    }
    ScheduleNext(kind);
  }

  void PushBurst() {
    const int team = m_workload.RandomTeam();
    const auto tasks = static_cast<int>(2 * kMeanBurst * m_workload.Uniform()) + 1;
    for (int i = 0; i < tasks; ++i) Push(m_workload.Batch(team), m_now);
  }

  void Push(BenchTask task, Time since) {
    WaitingTask waiting;
    waiting.spec = task.spec;
    waiting.id = {task.spec.id, 1};
    waiting.since = since;
    waiting.deadline = Time::max();
    m_demand[task.spec.team] += Total(task.spec);
    ++m_waiting[task.spec.team];
    m_tasks[task.spec.id] = std::move(task);
    m_queue.Push(std::move(waiting));
  }

  static Resources Total(const TaskSpec& spec) {
    Resources total;
    for (std::int64_t i = 0; i < std::max<std::int64_t>(spec.gang_size, 1); ++i) total += spec.demand;
    return total;
  }

  static std::vector<TaskSpec> Members(const TaskSpec& spec) {
    std::vector<TaskSpec> members;
    for (std::int64_t i = 0; i < std::max<std::int64_t>(spec.gang_size, 1); ++i) {
      members.push_back(spec);
      if (spec.gang_size > 0) members.back().id = TaskId(spec.id.value() + '/' + std::to_string(i));
    }
    return members;
  }

  /// Interactive work is offered on every tick, and all work at a bounded rate.
  void OfferRound() {
    const bool is_full = m_now >= m_next_full_round;
    const auto place = [this](const WaitingTask& task) { return Place(task); };
    const auto start = std::chrono::steady_clock::now();
    const OfferReport report = is_full ? m_queue.Offer(m_now, place) : m_queue.OfferInteractive(m_now, place);
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
    if (IsMeasured()) m_result.round_us.push_back(took.count());
    if (!is_full) return;
    m_next_full_round = m_now + kFullRoundInterval;
    m_blocked = report.blocked;
  }

  OfferOutcome Place(const WaitingTask& waiting) {
    Running running;
    if (waiting.spec.gang_size > 0) {
      running.members = Members(waiting.spec);
      auto chosen = m_placer.ChooseGang(running.members, m_now);
      if (!chosen) return OutcomeOf(chosen.error());
      running.upstreams = std::move(*chosen);
    } else {
      const auto chosen = m_placer.Choose(waiting.spec, m_now);
      if (!chosen) return OutcomeOf(chosen.error());
      running.members.push_back(waiting.spec);
      running.upstreams.push_back(*chosen);
    }
    Start(std::move(running), waiting);
    return OfferOutcome::kPlaced;
  }

  static OfferOutcome OutcomeOf(const Error& error) {
    return error.path == "/declared_run_ms" ? OfferOutcome::kBlockedByReservation : OfferOutcome::kNoCapacity;
  }

  void Start(Running running, const WaitingTask& waiting) {
    for (std::size_t i = 0; i < running.members.size(); ++i) {
      m_placer.Reserve(running.upstreams[i], running.members[i], m_now);
    }
    m_shares.AddUsage(waiting.spec.team, Total(waiting.spec), m_now);
    const auto task = m_tasks.find(waiting.spec.id);
    running.task = std::move(task->second);
    m_tasks.erase(task);
    running.started = m_now;
    running.since = waiting.since;
    --m_waiting[waiting.spec.team];
    RecordWait(waiting);
    const std::uint64_t number = ++m_next_running;
    Schedule(m_now + running.task.run, EventKind::kEnd, number);
    m_running.emplace(number, std::move(running));
  }

  void RecordWait(const WaitingTask& waiting) {
    if (!IsMeasured()) return;
    ++m_result.starts;
    const double wait_ms = static_cast<double>((m_now - waiting.since).count()) / 1e3;
    if (waiting.spec.work_class == WorkClass::kPreview) m_result.preview_wait_ms.push_back(wait_ms);
    if (waiting.spec.work_class == WorkClass::kUrgent) m_result.urgent_wait_ms.push_back(wait_ms);
    if (waiting.spec.work_class == WorkClass::kGang) m_result.gang_wait_ms.push_back(wait_ms);
  }

  void End(std::uint64_t number) {
    const auto found = m_running.find(number);
    if (found == m_running.end()) return;  // checkpointed in the meantime
    const Running running = std::move(found->second);
    m_running.erase(found);
    Vacate(running);
    m_demand[running.task.spec.team] -= Total(running.task.spec);
    m_estimator.Record(running.task.spec, ToMillis(m_now - running.started), running.task.spec.demand);
    m_attribution.OnResult(running.upstreams.front(), running.task.spec, true, m_now);
  }

  void Vacate(const Running& running) {
    for (std::size_t i = 0; i < running.members.size(); ++i) {
      m_placer.Release(running.upstreams[i], running.members[i], m_now);
    }
    m_shares.RemoveUsage(running.task.spec.team, Total(running.task.spec), m_now);
  }

  bool IsMeasured() const { return m_now >= m_measure_from; }
  bool IsOut(const UpstreamId& id) const {
    const std::string& domain = m_workers.at(id).domain.value();
    return m_domain_is_out && std::stoi(domain.substr(1)) < m_settings.size.domains / 3;
  }

  void TakeDomainsOut() {
    m_domain_is_out = true;
    for (const auto& [id, info] : m_workers) {
      if (IsOut(id)) m_placer.SetEligible(id, false);
    }
    std::vector<std::uint64_t> moved;
    for (const auto& [number, running] : m_running) {
      const bool affected = std::any_of(running.upstreams.begin(), running.upstreams.end(),
                                        [this](const UpstreamId& id) { return IsOut(id); });
      if (affected && running.task.can_checkpoint) moved.push_back(number);
    }
    std::sort(moved.begin(), moved.end());
    for (const std::uint64_t number : moved) Checkpoint(number);
  }

  void Checkpoint(std::uint64_t number) {
    Running running = std::move(m_running.at(number));
    m_running.erase(number);
    Vacate(running);
    BenchTask rest = running.task;
    rest.run = rest.run - (m_now - running.started) + kCheckpointCost;
    const double cores = static_cast<double>(Total(rest.spec).cpu_millis) / 1e3;
    m_result.lost_core_seconds += cores * std::chrono::duration<double>(kCheckpointCost).count();
    m_demand[rest.spec.team] -= Total(rest.spec);
    Push(std::move(rest), m_now);
  }

  void EverySecond() {
    Schedule(m_now + std::chrono::seconds(1), EventKind::kSecond, 0);
    if (m_settings.load <= 0) Refill();
    for (const AttemptId& id : m_blocked) ReserveStart(id);
    if (IsMeasured()) Sample();
  }

  void Refill() {
    for (int team = 0; team < m_settings.size.teams; ++team) {
      while (m_waiting[m_workload.Team(team)] < kBacklogPerTeam * m_workload.Share(team)) {
        const bool gang = m_workload.Uniform() < kGangPart / 5;
        Push(gang ? m_workload.Gang(team) : m_workload.Batch(team), m_now);
      }
    }
  }

  void ReserveStart(const AttemptId& id) {
    if (!m_settings.policies.policy.empty()) return;
    const auto task = m_tasks.find(id.task);
    if (task == m_tasks.end() || task->second.spec.work_class == WorkClass::kPreview) return;
    bool reserved = true;
    for (const TaskSpec& member : Members(task->second.spec)) {
      reserved = m_placer.ReserveStart(member, m_now).has_value() && reserved;
    }
    if (reserved) m_queue.Prefer(id);
  }

  void Sample() {
    Resources usable;
    Resources used;
    for (const auto& [id, info] : m_workers) {
      if (IsOut(id)) continue;
      usable += info.capacity;
      used += m_placer.Used(id);
    }
    m_shares.SetCapacity(usable);
    const auto entitled = m_shares.ComputeEntitlements(m_demand);
    Resources fractional;
    for (const auto& [team, share] : entitled) {
      fractional += share.amount;
      m_entitled[team] += share.dominant_share;
      m_allocated[team] += DominantShare(m_shares.Used(team), usable);
    }
    ++m_samples;
    m_result.packing += DominantShare(used, usable);
    m_result.bound += DominantShare(fractional, usable);
    m_result.done_core_seconds += static_cast<double>(used.cpu_millis) / 1e3;
    m_bound_core_seconds += static_cast<double>(fractional.cpu_millis) / 1e3;
  }

  static double DominantShare(const Resources& used, const Resources& capacity) {
    const auto part = [](std::int64_t amount, std::int64_t of) {
      return of > 0 ? static_cast<double>(amount) / static_cast<double>(of) : 0.0;
    };
    return std::max({part(used.cpu_millis, capacity.cpu_millis), part(used.memory_mb, capacity.memory_mb),
                     part(used.accelerators, capacity.accelerators), part(used.slots, capacity.slots)});
  }

  void Finish() {
    double entitled = 0;
    double allocated = 0;
    for (const auto& [team, sum] : m_entitled) entitled += sum;
    for (const auto& [team, sum] : m_allocated) allocated += sum;
    for (const auto& [team, sum] : m_entitled) {
      const double deviation = std::abs((m_allocated[team] / allocated) / (sum / entitled) - 1);
      m_result.largest_deviation = std::max(m_result.largest_deviation, deviation);
    }
    m_result.packing /= m_samples;
    m_result.bound /= m_samples;
    m_result.work_ratio = m_result.done_core_seconds / m_bound_core_seconds;
    m_result.waiting = m_queue.size();
    m_result.state_bytes = m_placer.MemoryBytes() + m_shares.MemoryBytes() + m_queue.MemoryBytes() +
                           m_estimator.MemoryBytes() + m_attribution.MemoryBytes();
  }

  SimulationSettings m_settings;
  PolicyWorkload m_workload;
  Placer m_placer;
  FairShare m_shares;
  Estimator m_estimator;
  FailureAttribution m_attribution;
  AdmissionQueue m_queue;
  SimulationResult m_result;
  Time m_now = TimeFromMicros(1'000'000);
  Time m_measure_from;
  Time m_next_full_round;
  bool m_domain_is_out = false;
  std::vector<AttemptId> m_blocked;
  std::uint64_t m_order = 0;
  std::uint64_t m_next_running = 0;
  int m_samples = 0;
  double m_bound_core_seconds = 0;
  Resources m_capacity;
  std::map<UpstreamId, UpstreamInfo> m_workers;
  std::unordered_map<TaskId, BenchTask> m_tasks;  ///< waiting
  std::unordered_map<std::uint64_t, Running> m_running;
  std::map<TeamId, Resources> m_demand;  ///< running and waiting
  std::map<TeamId, std::int64_t> m_waiting;
  std::map<TeamId, double> m_entitled;
  std::map<TeamId, double> m_allocated;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
};

}  // namespace jaymast
