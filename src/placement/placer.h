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
#include "placement/replica_counts.h"
#include "placement/start_rate_limiter.h"
#include "placement/upstream_table.h"

namespace jaymast {

class Estimator;

/// Chooses upstreams for tasks among those that this entry owns, and tracks their free capacity.
///
/// A decision filters groups of upstreams and then scores a bounded sample of the upstreams that fit.
class Placer {
 public:
  /// Headroom: part of the slots, in thousandths, that is kept free for previews.
  static constexpr std::int64_t kDefaultHeadroomPermille = 50;

  explicit Placer(std::uint64_t seed);

  /// Sets the policy of each class of work by name. Classes without a known name get their default policy.
  void SetPolicies(const std::map<WorkClass, std::string>& policies);

  /// Sets the capacity that is kept free for previews.
  /// @param slots_permille number of previews to keep capacity free for, in thousandths of the slots of the schedulable
  /// upstreams
  /// @param preview_demand demand of one preview
  void SetHeadroom(std::int64_t slots_permille, const Resources& preview_demand);

  /// Uses learned instead of declared run times. The estimator must outlive the placer.
  void SetEstimator(const Estimator* estimator) { m_estimator = estimator; }

  /// Adds or updates an upstream. An update keeps the allocated capacity.
  void PutUpstream(const UpstreamInfo& info);
  void RemoveUpstream(const UpstreamId& id);

  /// Sets whether the upstream gets new tasks. Its allocated capacity is kept.
  void SetEligible(const UpstreamId& id, bool eligible);

  /// Limits starts in a failure domain that has returned to service.
  /// @param until end of the limit
  void LimitStarts(const DomainId& domain, Time until, std::int64_t starts_per_second, Time now);

  /// Chooses an upstream without allocating capacity.
  /// @return the upstream, or an error with the path of the binding constraint: kNoCapacity when the task may fit
  /// later (path /declared_run_ms when a shorter task would fit before a reserved start), kDemandImpossible when no
  /// upstream of this placer could hold it even if it were empty
  /// Complexity: bounded by the sample, plus one comparison for each 16 upstreams.
  Result<UpstreamId> Choose(const TaskSpec& spec, Time now);

  /// Chooses upstreams for all members of a gang without allocating capacity.
  /// @return one upstream for each member in order, or the error of the first member that does not fit
  Result<std::vector<UpstreamId>> ChooseGang(const std::vector<TaskSpec>& members, Time now);

  /// Allocates capacity to a task until Release(). Cancels a reserved start of the task.
  void Reserve(const UpstreamId& id, const TaskSpec& spec, Time now);
  void Release(const UpstreamId& id, const TaskSpec& spec, Time now);

  /// Reserves a start for a blocked task. Other tasks are then placed only if they do not delay it.
  /// @return the expected start, or nothing if none can be reserved
  std::optional<Time> ReserveStart(const TaskSpec& spec, Time now);
  void CancelReservedStart(const TaskSpec& spec);

  /// Sum of the free capacity of all schedulable upstreams.
  Resources Free() const;

  /// Free capacity of the schedulable upstream with the most free processors.
  Resources LargestFree() const;

  Resources TotalCapacity() const { return m_table.capacity(); }
  Resources Used(const UpstreamId& id) const;

  /// Number of previews for which capacity is kept free.
  std::int64_t ReservedPreviews() const;

  /// Number of previews that fit into the schedulable upstreams now.
  std::int64_t FreePreviews() const { return m_table.total_free_previews(); }

  /// Approximate size of the state.
  std::size_t MemoryBytes() const;

 private:
  using Index = UpstreamTable::Index;

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

  /// State of the search for one decision.
  struct Sample {
    std::size_t scored = 0;
    std::size_t excluded_by_headroom = 0;     ///< upstreams that fit but would use the headroom
    bool conflicts_with_reservation = false;  ///< the task would delay a reserved start
    std::optional<Index> best;
    double best_score = 0;
  };

  const PlacementPolicy& PolicyOf(const TaskSpec& spec) const;
  Query MakeQuery(const TaskSpec& spec, Time now) const;
  Sample TakeSample(const Query& query);
  void SearchDomains(const Query& query, Sample& sample);
  void Search(const Query& query, Sample& sample);
  Index FirstGroup(const Query& query);
  bool GroupMayFit(const UpstreamTable::Group& group, const Query& query) const;
  void VisitGroup(Index group, const Query& query, std::size_t limit, Sample& sample);
  bool RespectsReservedStart(Index index, const Query& query) const;
  bool RespectsHeadroom(Index index, const Query& query) const;
  double Score(Index index, const Query& query);
  void AllocateOn(Index index, const TaskSpec& spec, Time now);
  void FreeOn(Index index, const TaskSpec& spec);
  Error ExplainFailure(const Query& query, const Sample& sample) const;
  Error ExplainGangFailure(const std::vector<TaskSpec>& members, const Query& failed, const Sample& sample) const;
  std::optional<Error> FindImpossibleConstraint(const Query& query) const;
  Time ExpectedEnd(const TaskSpec& spec, Time now) const;

  std::mt19937_64 m_random;
  std::array<PlacementPolicy, EnumNames<WorkClass>::kNames.size()> m_policies;
  UpstreamTable m_table;
  Backfill m_backfill;
  ReplicaCounts m_replicas;
  StartRateLimiter m_start_limiter;
  const Estimator* m_estimator = nullptr;
  Index m_resume_group = 0;  ///< first group of the next search, after one ended at kMaxExcludedUpstreams
  std::int64_t m_headroom_permille = kDefaultHeadroomPermille;
};

}  // namespace jaymast
