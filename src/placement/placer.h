#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/resources.h"
#include "base/result.h"
#include "base/time.h"
#include "model/task_spec.h"
#include "model/upstream_info.h"
#include "placement/backfill.h"
#include "placement/placement_policy.h"
#include "placement/spread_counts.h"
#include "placement/start_ramp.h"
#include "placement/worker_table.h"

namespace jaymast {

class Estimator;

/// Chooses an upstream for a task among the upstreams that this entry owns, and keeps their free capacity.
///
/// A decision filters groups of workers and then scores a bounded sample of the workers that fit.
class Placer {
 public:
  /// Part of the slots that work other than previews leaves free, in thousandths.
  static constexpr std::int64_t kDefaultHeadroomPermille = 50;

  explicit Placer(std::uint64_t seed);

  /// Selects the policy of each class of work by name. A class without a known name gets its default policy.
  void SetPolicies(const std::map<WorkClass, std::string>& policies);

  /// Sets the capacity that work other than previews leaves free.
  /// @param slots_permille reserved previews in thousandths of the slots of the eligible upstreams
  /// @param unit demand of one preview
  void SetHeadroom(std::int64_t slots_permille, const Resources& unit);

  /// Uses learned run times for backfill in place of declared ones. The estimator must outlive the placer.
  void SetEstimator(const Estimator* estimator) { m_estimator = estimator; }

  /// Adds an upstream, or updates its capacity. Reservations on a known upstream are kept.
  void PutUpstream(const UpstreamInfo& info);
  void RemoveUpstream(const UpstreamId& id);

  /// An upstream that is not eligible gets no new task; its reservations stay.
  void SetEligible(const UpstreamId& id, bool eligible);

  /// Limits starts in a failure domain that has come back into service.
  /// @param until the limit ends then
  void LimitStarts(const DomainId& domain, Time until, std::int64_t starts_per_second, Time now);

  /// Chooses an upstream without reserving it.
  /// @return the upstream, or an error with the path of the binding constraint: kNoCapacity when the task may fit
  /// later (path /declared_run_ms when a shorter task would fit before a reserved start), kDemandImpossible when no
  /// upstream of this placer could hold it even if it were empty
  /// Complexity: bounded by the sample, plus one comparison for each 16 workers.
  Result<UpstreamId> Choose(const TaskSpec& spec, Time now);

  /// Chooses upstreams for all members of a gang without reserving them, or for none.
  /// @return one upstream for each member in order, or the error of the first member that does not fit
  Result<std::vector<UpstreamId>> ChooseGang(const std::vector<TaskSpec>& members, Time now);

  void Reserve(const UpstreamId& id, const TaskSpec& spec, Time now);
  void Release(const UpstreamId& id, const TaskSpec& spec, Time now);

  /// Reserves a start for a blocked task, so that tasks behind it are placed only if they do not delay it.
  /// @return the expected start, or nothing when no start can be reserved
  std::optional<Time> ReserveStart(const TaskSpec& spec, Time now);
  void CancelReservedStart(const TaskSpec& spec);

  /// Sum of the free capacity of all eligible upstreams.
  Resources Free() const;

  /// Free capacity of the eligible upstream with the most free processors.
  Resources LargestFree() const;

  Resources TotalCapacity() const { return m_table.capacity(); }
  Resources Used(const UpstreamId& id) const;

  /// Previews that are kept free from other work at present.
  std::int64_t ReservedPreviews() const;

  /// Previews that fit into the eligible upstreams at present.
  std::int64_t FreePreviews() const { return m_table.open_units(); }

  /// Approximate size of the state in bytes.
  std::size_t MemoryBytes() const;

 private:
  using Index = WorkerTable::Index;

  struct Query {
    const TaskSpec& spec;
    const PlacementPolicy& policy;
    PackedResources packed_demand;
    std::optional<Index> domain;
    Backfill::TaskHash task = 0;
    Time now;
    Time expected_end;
    std::int64_t reserved_previews = 0;
    bool keeps_headroom = false;
  };

  /// Candidates found so far.
  struct Sample {
    std::size_t taken = 0;
    std::size_t excluded = 0;        ///< workers with room that the headroom excludes
    bool meets_reservation = false;  ///< a worker with room has a reserved start that the task would delay
    std::optional<Index> best;
    double best_score = 0;
  };

  const PlacementPolicy& PolicyOf(const TaskSpec& spec) const;
  Query MakeQuery(const TaskSpec& spec, Time now) const;
  Sample TakeSample(const Query& query);
  void SearchDomains(const Query& query, Sample& sample);
  void Search(const Query& query, Sample& sample);
  Index FirstGroup(const Query& query);
  bool GroupMayFit(const WorkerTable::Group& group, const Query& query) const;
  void VisitGroup(Index group, const Query& query, std::size_t limit, Sample& sample);
  bool LeavesReservedStart(Index index, const Query& query) const;
  bool LeavesHeadroom(Index index, const Query& query) const;
  double Score(Index index, const Query& query);
  void Hold(Index index, const TaskSpec& spec, Time now);
  void Unhold(Index index, const TaskSpec& spec);
  Error Explain(const Query& query, const Sample& sample) const;
  Error ExplainGang(const std::vector<TaskSpec>& members, const Query& failed, const Sample& sample) const;
  std::optional<Error> Impossible(const Query& query) const;
  Time ExpectedEnd(const TaskSpec& spec, Time now) const;

  std::mt19937_64 m_random;
  std::array<PlacementPolicy, EnumNames<WorkClass>::kNames.size()> m_policies;
  WorkerTable m_table;
  Backfill m_backfill;
  SpreadCounts m_spread;
  StartRamp m_ramp;
  const Estimator* m_estimator = nullptr;
  Index m_resume_group = 0;  ///< where the next search starts, after one gave up at the headroom
  std::int64_t m_headroom_permille = kDefaultHeadroomPermille;
};

}  // namespace jaymast
