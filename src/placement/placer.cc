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

/// A search ends after this many upstreams that fit but are excluded by the headroom. Without the bound, a search
/// visits nearly all upstreams when the headroom is exhausted.
constexpr std::size_t kMaxExcludedUpstreams = 16;

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

void Placer::SetHeadroom(std::int64_t slots_permille, const Resources& preview_demand) {
  m_headroom_permille = slots_permille;
  m_table.SetPreviewDemand(preview_demand);
}

void Placer::PutUpstream(const UpstreamInfo& info) { m_table.Put(info); }

void Placer::RemoveUpstream(const UpstreamId& id) {
  const auto index = m_table.Find(id);
  if (!index) return;
  m_backfill.OnUpstreamRemoved(*index);
  m_table.Remove(id);
}

void Placer::SetEligible(const UpstreamId& id, bool eligible) {
  const auto index = m_table.Find(id);
  if (index) m_table.SetEligible(*index, eligible);
}

void Placer::LimitStarts(const DomainId& domain, Time until, std::int64_t starts_per_second, Time now) {
  const auto index = m_table.FindDomain(domain);
  if (index) m_start_limiter.SetLimit(*index, until, starts_per_second, now);
}

Result<UpstreamId> Placer::Choose(const TaskSpec& spec, Time now) {
  const Query query = MakeQuery(spec, now);
  const Sample sample = TakeSample(query);
  if (sample.best) return m_table.id(*sample.best);
  return ExplainFailure(query, sample);
}

Result<std::vector<UpstreamId>> Placer::ChooseGang(const std::vector<TaskSpec>& members, Time now) {
  std::vector<Index> allocated;
  std::optional<Error> error;
  for (const TaskSpec& member : members) {
    const Query query = MakeQuery(member, now);
    const Sample sample = TakeSample(query);
    if (!sample.best) {
      error = ExplainGangFailure(members, query, sample);
      break;
    }
    allocated.push_back(*sample.best);
    AllocateOn(*sample.best, member, now);
  }
  for (std::size_t i = 0; i < allocated.size(); ++i) FreeOn(allocated[i], members[i]);
  if (error) return *error;
  std::vector<UpstreamId> chosen;
  chosen.reserve(allocated.size());
  for (const Index index : allocated) chosen.push_back(m_table.id(index));
  return chosen;
}

void Placer::AllocateOn(Index index, const TaskSpec& spec, Time now) {
  m_table.Allocate(index, spec.demand);
  m_backfill.OnStart(index, StableHash(spec.id.value()), spec.demand, ExpectedEnd(spec, now));
}

void Placer::FreeOn(Index index, const TaskSpec& spec) {
  m_table.Free(index, spec.demand);
  m_backfill.OnEnd(index, StableHash(spec.id.value()), spec.demand);
}

void Placer::Reserve(const UpstreamId& id, const TaskSpec& spec, Time now) {
  const auto index = m_table.Find(id);
  if (!index) return;
  AllocateOn(*index, spec, now);
  CancelReservedStart(spec);
  m_start_limiter.OnStart(m_table.row(*index).domain, now);
  if (spec.work_class == WorkClass::kService) m_replicas.Add(ReplicaCounts::KeyOf(spec), m_table.row(*index), 1);
}

void Placer::Release(const UpstreamId& id, const TaskSpec& spec, Time /*now*/) {
  const auto index = m_table.Find(id);
  if (!index) return;
  FreeOn(*index, spec);
  if (spec.work_class == WorkClass::kService) m_replicas.Add(ReplicaCounts::KeyOf(spec), m_table.row(*index), -1);
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
    if (m_table.row(index).schedulable_slots > 0) free += ClampToZero(m_table.schedulable_free(index));
  }
  return free;
}

Resources Placer::LargestFree() const {
  Resources largest;
  for (Index index = 0; index < m_table.slots(); ++index) {
    const Resources& free = m_table.schedulable_free(index);
    if (free.cpu_millis > largest.cpu_millis) largest = ClampToZero(free);
  }
  return largest;
}

Resources Placer::Used(const UpstreamId& id) const {
  const auto index = m_table.Find(id);
  return index ? m_table.row(*index).used : Resources{};
}

std::int64_t Placer::ReservedPreviews() const { return m_table.schedulable_slots() * m_headroom_permille / kPermille; }

std::size_t Placer::MemoryBytes() const {
  return sizeof(*this) + m_table.MemoryBytes() + m_backfill.MemoryBytes() + m_replicas.MemoryBytes();
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
  const ReplicaCounts::ServiceKey service = ReplicaCounts::KeyOf(query.spec);
  std::vector<Index> domains(m_table.domain_count());
  std::iota(domains.begin(), domains.end(), 0);
  std::stable_sort(domains.begin(), domains.end(),
                   [&](Index a, Index b) { return m_replicas.InDomain(service, a) < m_replicas.InDomain(service, b); });
  Query in_domain = query;
  for (const Index domain : domains) {
    in_domain.domain = domain;
    Search(in_domain, sample);
    if (sample.best || sample.excluded_by_headroom >= kMaxExcludedUpstreams) return;
  }
}

void Placer::Search(const Query& query, Sample& sample) {
  const auto groups = static_cast<Index>(m_table.groups().size());
  const std::size_t limit = SampleLimit(query.policy);
  Index group = FirstGroup(query);
  for (Index visited = 0; visited < groups; ++visited) {
    if (GroupMayFit(m_table.groups()[group], query)) VisitGroup(group, query, limit, sample);
    if (sample.scored >= limit) return;
    if (++group == groups) group = 0;
    if (sample.excluded_by_headroom < kMaxExcludedUpstreams) continue;
    m_resume_group = group;
    return;
  }
}

Placer::Index Placer::FirstGroup(const Query& query) {
  const auto groups = static_cast<Index>(m_table.groups().size());
  if (groups < 2) return 0;
  if (!StartsAtRandomGroup(query.policy)) return m_resume_group % groups;
  return static_cast<Index>(m_random() % groups);
}

bool Placer::GroupMayFit(const UpstreamTable::Group& group, const Query& query) const {
  if (!query.packed_demand.MayFitIn(group.max_free)) return false;
  if (query.domain && *query.domain != group.domain) return false;
  return m_start_limiter.MayStart(group.domain, query.now);
}

void Placer::VisitGroup(Index group, const Query& query, std::size_t limit, Sample& sample) {
  const Index first = group * UpstreamTable::kGroupSize;
  for (Index index = first; index < first + UpstreamTable::kGroupSize; ++index) {
    if (!m_table.Fits(index, query.spec.demand, query.packed_demand)) continue;
    if (query.keeps_headroom && !RespectsHeadroom(index, query)) {
      if (++sample.excluded_by_headroom >= kMaxExcludedUpstreams) return;
      continue;
    }
    if (!RespectsReservedStart(index, query)) {
      sample.conflicts_with_reservation = true;
      continue;
    }
    const double score = Score(index, query);
    if (!sample.best || score > sample.best_score) {
      sample.best = index;
      sample.best_score = score;
    }
    if (++sample.scored >= limit) return;
  }
}

bool Placer::RespectsReservedStart(Index index, const Query& query) const {
  // Previews are short enough not to delay a reserved start, also without a declared run time.
  const bool is_exempt = query.spec.work_class == WorkClass::kPreview;
  if (is_exempt || m_backfill.reservations().empty()) return true;
  return m_backfill.Allows(index, query.task, query.spec.demand, query.expected_end, query.now);
}

bool Placer::RespectsHeadroom(Index index, const Query& query) const {
  const std::int64_t free_previews = m_table.free_previews(index);
  const std::int64_t spare = m_table.total_free_previews() - query.reserved_previews;
  if (free_previews <= std::max<std::int64_t>(spare, 0)) return true;
  // No preview may be displaced, and almost every task displaces at least one.
  if (spare <= 0) return false;
  return free_previews - m_table.PreviewsIn(m_table.schedulable_free(index) - query.spec.demand) <= spare;
}

double Placer::Score(Index index, const Query& query) {
  const PlacementScore score{query.spec, m_table.row(index), m_table.schedulable_free(index), m_replicas, m_random};
  return std::visit(score, query.policy);
}

Error Placer::ExplainFailure(const Query& query, const Sample& sample) const {
  if (m_table.size() == 0) return {ErrorId::kNoCapacity, "/demand", "this entry owns no upstream"};
  if (!query.spec.domain.empty() && !query.domain) {
    return {ErrorId::kNoCapacity, "/domain", "this entry owns no upstream in the failure domain"};
  }
  if (sample.conflicts_with_reservation) {
    return {ErrorId::kNoCapacity, "/declared_run_ms",
            "free capacity is reserved for another task that starts before the expected end of this one"};
  }
  const std::optional<Error> impossible = FindImpossibleConstraint(query);
  if (impossible) return *impossible;
  return {ErrorId::kNoCapacity, "/demand", "no eligible upstream has enough free capacity"};
}

Error Placer::ExplainGangFailure(const std::vector<TaskSpec>& members, const Query& failed,
                                 const Sample& sample) const {
  const Resources& demand = failed.spec.demand;
  const auto alike = [&](const TaskSpec& member) { return member.demand == demand; };
  const auto wanted = std::count_if(members.begin(), members.end(), alike);
  std::int64_t most = 0;
  for (const UpstreamTable::Shape& shape : m_table.shapes()) {
    if (failed.domain && *failed.domain != shape.domain) continue;
    most += shape.upstreams * CountFitting(shape.capacity, demand, wanted);
  }
  if (most > 0 && most < wanted) {
    return {ErrorId::kDemandImpossible, "/gang_size",
            fmt::format("the upstreams can hold at most {} members of this demand", most)};
  }
  return ExplainFailure(failed, sample);
}

std::optional<Error> Placer::FindImpossibleConstraint(const Query& query) const {
  const std::int64_t slots = m_table.capacity().slots;
  const std::int64_t reserved = slots * m_headroom_permille / kPermille;
  if (query.keeps_headroom && query.spec.demand.slots > slots - reserved) {
    return Error{ErrorId::kDemandImpossible, "/demand/slots",
                 "the demand exceeds the slots that are not reserved for previews"};
  }
  std::vector<Resources> capacities;
  for (const UpstreamTable::Shape& shape : m_table.shapes()) {
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
  // A task of unknown run time must not count as ending before a reserved start.
  if (run_ms <= 0) return Time::max();
  return now + std::chrono::milliseconds(run_ms);
}

}  // namespace jaymast
