#include "placement/placer.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <numeric>
#include <string>

#include "base/hash.h"
#include "placement/estimator.h"
#include "placement/placement_score.h"

namespace jaymast {
namespace {

/// Most workers that fit and that the headroom excludes, before a search gives up. When the headroom is used up, nearly
/// every worker that fits is excluded, and a search without this bound looks at all of them.
constexpr std::size_t kMaxExcluded = 16;

constexpr std::int64_t kPermille = 1000;

}  // namespace

Placer::Placer(std::uint64_t seed) : m_random(seed) { SetPolicies({}); }

void Placer::SetPolicies(const std::map<WorkClass, std::string>& policies) {
  for (std::size_t i = 0; i < m_policies.size(); ++i) {
    const auto work_class = static_cast<WorkClass>(i);
    const auto named = policies.find(work_class);
    const auto policy = named == policies.end() ? std::nullopt : PolicyFromName(named->second);
    m_policies[i] = policy.value_or(DefaultPolicy(work_class));
  }
}

void Placer::SetHeadroom(std::int64_t slots_permille, const Resources& unit) {
  m_headroom_permille = slots_permille;
  m_table.SetPreviewUnit(unit);
}

void Placer::PutUpstream(const UpstreamInfo& info) { m_table.Put(info); }

void Placer::RemoveUpstream(const UpstreamId& id) {
  const auto index = m_table.Find(id);
  if (!index) return;
  m_backfill.OnRemoved(*index);
  m_table.Remove(id);
}

void Placer::SetEligible(const UpstreamId& id, bool eligible) {
  const auto index = m_table.Find(id);
  if (index) m_table.SetEligible(*index, eligible);
}

void Placer::LimitStarts(const DomainId& domain, Time until, std::int64_t starts_per_second, Time now) {
  const auto index = m_table.FindDomain(domain);
  if (index) m_ramp.Limit(*index, until, starts_per_second, now);
}

Result<UpstreamId> Placer::Choose(const TaskSpec& spec, Time now) {
  const Query query = MakeQuery(spec, now);
  const Sample sample = TakeSample(query);
  if (sample.best) return m_table.id(*sample.best);
  return Explain(query, sample);
}

Result<std::vector<UpstreamId>> Placer::ChooseGang(const std::vector<TaskSpec>& members, Time now) {
  std::vector<Index> held;
  std::optional<Error> error;
  for (const TaskSpec& member : members) {
    const Query query = MakeQuery(member, now);
    const Sample sample = TakeSample(query);
    if (!sample.best) {
      error = ExplainGang(members, query, sample);
      break;
    }
    held.push_back(*sample.best);
    Hold(*sample.best, member, now);
  }
  for (std::size_t i = 0; i < held.size(); ++i) Unhold(held[i], members[i]);
  if (error) return *error;
  std::vector<UpstreamId> chosen;
  chosen.reserve(held.size());
  for (const Index index : held) chosen.push_back(m_table.id(index));
  return chosen;
}

void Placer::Hold(Index index, const TaskSpec& spec, Time now) {
  m_table.Use(index, spec.demand);
  m_backfill.OnStart(index, StableHash(spec.id.value()), spec.demand, ExpectedEnd(spec, now));
}

void Placer::Unhold(Index index, const TaskSpec& spec) {
  m_table.Free(index, spec.demand);
  m_backfill.OnEnd(index, StableHash(spec.id.value()), spec.demand);
}

void Placer::Reserve(const UpstreamId& id, const TaskSpec& spec, Time now) {
  const auto index = m_table.Find(id);
  if (!index) return;
  Hold(*index, spec, now);
  CancelReservedStart(spec);
  m_ramp.OnStart(m_table.row(*index).domain, now);
  if (spec.work_class == WorkClass::kService) m_spread.Add(SpreadCounts::KeyOf(spec), m_table.row(*index), 1);
}

void Placer::Release(const UpstreamId& id, const TaskSpec& spec, Time /*now*/) {
  const auto index = m_table.Find(id);
  if (!index) return;
  Unhold(*index, spec);
  if (spec.work_class == WorkClass::kService) m_spread.Add(SpreadCounts::KeyOf(spec), m_table.row(*index), -1);
}

std::optional<Time> Placer::ReserveStart(const TaskSpec& spec, Time now) {
  std::optional<Index> domain;
  if (!spec.domain.empty()) {
    domain = m_table.FindDomain(spec.domain);
    if (!domain) return std::nullopt;
  }
  const auto reservation = m_backfill.Reserve(m_table, StableHash(spec.id.value()), spec.demand, domain, now);
  if (!reservation) return std::nullopt;
  return reservation->start;
}

void Placer::CancelReservedStart(const TaskSpec& spec) { m_backfill.Cancel(StableHash(spec.id.value())); }

Resources Placer::Free() const {
  Resources free;
  for (Index index = 0; index < m_table.slots(); ++index) {
    if (m_table.row(index).open_slots > 0) free += NotNegative(m_table.open(index));
  }
  return free;
}

Resources Placer::LargestFree() const {
  Resources largest;
  for (Index index = 0; index < m_table.slots(); ++index) {
    const Resources& free = m_table.open(index);
    if (free.cpu_millis > largest.cpu_millis) largest = NotNegative(free);
  }
  return largest;
}

Resources Placer::Used(const UpstreamId& id) const {
  const auto index = m_table.Find(id);
  return index ? m_table.row(*index).used : Resources{};
}

std::int64_t Placer::ReservedPreviews() const { return m_table.open_slots() * m_headroom_permille / kPermille; }

std::size_t Placer::MemoryBytes() const {
  return sizeof(*this) + m_table.MemoryBytes() + m_backfill.MemoryBytes() + m_spread.MemoryBytes();
}

const PlacementPolicy& Placer::PolicyOf(const TaskSpec& spec) const {
  return m_policies.at(static_cast<std::size_t>(spec.work_class));
}

Placer::Query Placer::MakeQuery(const TaskSpec& spec, Time now) const {
  const PlacementPolicy& policy = PolicyOf(spec);
  Query query{spec, policy, PackedResources::OfDemand(spec.demand), {}, 0, now, {}, 0, false};
  if (!spec.domain.empty()) query.domain = m_table.FindDomain(spec.domain);
  if (!m_backfill.reservations().empty()) {
    query.task = StableHash(spec.id.value());
    query.expected_end = ExpectedEnd(spec, now);
  }
  query.reserved_previews = ReservedPreviews();
  query.keeps_headroom = spec.work_class != WorkClass::kPreview && KeepsHeadroom(policy);
  return query;
}

Placer::Sample Placer::TakeSample(const Query& query) {
  Sample sample;
  if (!query.spec.domain.empty() && !query.domain) return sample;
  if (std::holds_alternative<SpreadPolicy>(query.policy) && !query.domain) {
    SearchDomains(query, sample);
  } else {
    Search(query, sample);
  }
  return sample;
}

void Placer::SearchDomains(const Query& query, Sample& sample) {
  const SpreadCounts::ServiceKey service = SpreadCounts::KeyOf(query.spec);
  std::vector<Index> domains(m_table.domain_count());
  std::iota(domains.begin(), domains.end(), 0);
  std::stable_sort(domains.begin(), domains.end(),
                   [&](Index a, Index b) { return m_spread.InDomain(service, a) < m_spread.InDomain(service, b); });
  Query in_domain = query;
  for (const Index domain : domains) {
    in_domain.domain = domain;
    Search(in_domain, sample);
    if (sample.best || sample.excluded >= kMaxExcluded) return;
  }
}

void Placer::Search(const Query& query, Sample& sample) {
  const auto groups = static_cast<Index>(m_table.groups().size());
  const std::size_t limit = SampleLimit(query.policy);
  Index group = FirstGroup(query);
  for (Index visited = 0; visited < groups; ++visited) {
    if (GroupMayFit(m_table.groups()[group], query)) VisitGroup(group, query, limit, sample);
    if (sample.taken >= limit) return;
    if (++group == groups) group = 0;
    if (sample.excluded < kMaxExcluded) continue;
    m_resume_group = group;
    return;
  }
}

Placer::Index Placer::FirstGroup(const Query& query) {
  const auto groups = static_cast<Index>(m_table.groups().size());
  if (groups < 2) return 0;
  if (!StartsAtRandom(query.policy)) return m_resume_group % groups;
  return static_cast<Index>(m_random() % groups);
}

bool Placer::GroupMayFit(const WorkerTable::Group& group, const Query& query) const {
  if (!query.packed_demand.MayFitIn(group.max_free)) return false;
  if (query.domain && *query.domain != group.domain) return false;
  return m_ramp.MayStart(group.domain, query.now);
}

void Placer::VisitGroup(Index group, const Query& query, std::size_t limit, Sample& sample) {
  const Index first = group * WorkerTable::kGroupSize;
  for (Index index = first; index < first + WorkerTable::kGroupSize; ++index) {
    if (!m_table.Fits(index, query.spec.demand, query.packed_demand)) continue;
    if (query.keeps_headroom && !LeavesHeadroom(index, query)) {
      if (++sample.excluded >= kMaxExcluded) return;
      continue;
    }
    if (!LeavesReservedStart(index, query)) {
      sample.meets_reservation = true;
      continue;
    }
    const double score = Score(index, query);
    if (!sample.best || score > sample.best_score) {
      sample.best = index;
      sample.best_score = score;
    }
    if (++sample.taken >= limit) return;
  }
}

bool Placer::LeavesReservedStart(Index index, const Query& query) const {
  // A preview ends long before a reserved start matters, also when its run time is not declared.
  const bool is_exempt = query.spec.work_class == WorkClass::kPreview;
  if (is_exempt || m_backfill.reservations().empty()) return true;
  return m_backfill.Allows(index, query.task, query.spec.demand, query.expected_end, query.now);
}

bool Placer::LeavesHeadroom(Index index, const Query& query) const {
  const std::int64_t units = m_table.units(index);
  const std::int64_t spare = m_table.open_units() - query.reserved_previews;
  if (units <= std::max<std::int64_t>(spare, 0)) return true;
  // Almost every task takes room from at least one preview where there is room for previews.
  if (spare <= 0) return false;
  return units - m_table.UnitsIn(m_table.open(index) - query.spec.demand) <= spare;
}

double Placer::Score(Index index, const Query& query) {
  const PlacementScore score{query.spec, m_table.row(index), m_table.open(index), m_spread, m_random};
  return std::visit(score, query.policy);
}

Error Placer::Explain(const Query& query, const Sample& sample) const {
  if (m_table.size() == 0) return {ErrorId::kNoCapacity, "/demand", "there is no upstream"};
  if (!query.spec.domain.empty() && !query.domain) {
    return {ErrorId::kNoCapacity, "/domain", "there is no upstream in the failure domain"};
  }
  if (sample.meets_reservation) {
    return {ErrorId::kNoCapacity, "/declared_run_ms",
            "free capacity is reserved for a task that starts before the end"};
  }
  const std::optional<Error> impossible = Impossible(query);
  if (impossible) return *impossible;
  return {ErrorId::kNoCapacity, "/demand", "no eligible upstream has enough free capacity"};
}

Error Placer::ExplainGang(const std::vector<TaskSpec>& members, const Query& failed, const Sample& sample) const {
  const Resources& demand = failed.spec.demand;
  const auto alike = [&](const TaskSpec& member) { return member.demand == demand; };
  const auto wanted = std::count_if(members.begin(), members.end(), alike);
  std::int64_t most = 0;
  for (const WorkerTable::Shape& shape : m_table.shapes()) {
    if (failed.domain && *failed.domain != shape.domain) continue;
    most += shape.workers * CopiesIn(shape.capacity, demand, wanted);
  }
  if (most > 0 && most < wanted) {
    return {ErrorId::kDemandImpossible, "/gang_size", fmt::format("the upstreams hold at most {} such members", most)};
  }
  return Explain(failed, sample);
}

std::optional<Error> Placer::Impossible(const Query& query) const {
  const std::int64_t slots = m_table.capacity().slots;
  const std::int64_t reserved = slots * m_headroom_permille / kPermille;
  if (query.keeps_headroom && query.spec.demand.slots > slots - reserved) {
    return Error{ErrorId::kDemandImpossible, "/demand/slots", "the other slots are reserved for previews"};
  }
  std::vector<Resources> capacities;
  for (const WorkerTable::Shape& shape : m_table.shapes()) {
    if (query.domain && *query.domain != shape.domain) continue;
    if (query.spec.demand.FitsIn(shape.capacity)) return std::nullopt;
    capacities.push_back(shape.capacity);
  }
  if (capacities.empty()) return std::nullopt;
  return BindingConstraint(query.spec.demand, capacities);
}

Time Placer::ExpectedEnd(const TaskSpec& spec, Time now) const {
  if (spec.work_class == WorkClass::kService) return Time::max();
  const std::int64_t run_ms = m_estimator == nullptr ? spec.declared_run_ms : m_estimator->EstimateFor(spec).run_ms;
  // A task without a known run time must not be taken to end before a reserved start.
  if (run_ms <= 0) return Time::max();
  return now + std::chrono::milliseconds(run_ms);
}

}  // namespace jaymast
