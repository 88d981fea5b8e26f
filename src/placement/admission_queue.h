#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "core/upstream_protocol.h"
#include "model/task_spec.h"
#include "placement/drain_rate.h"

namespace jaymast {

class Estimator;
class FairShare;

/// A task that waits at the owner of upstreams for capacity.
struct WaitingTask {
  AttemptId id;
  TaskSpec spec;
  EntryId from;                  ///< entry that sent the request
  Time since;                    ///< when it was queued
  Time deadline;                 ///< dropped if not placed by then
  Time finish_by = Time::max();  ///< dropped if its expected end is later
};

/// Result of offering a task for placement.
enum class OfferOutcome {
  kPlaced,
  kNoCapacity,            ///< does not fit now, so equal and larger demands are not offered
  kBlockedByReservation,  ///< would delay a reserved start; a shorter task may fit
  kRefused,               ///< not placed for a reason that affects its team only, such as the team's limit
};

/// Order in which waiting tasks are served. The baselines are for comparison in simulations.
enum class QueueOrder {
  kFairShare,  ///< by class of work, then by fair share, then by age
  kPriority,   ///< baseline: by class of work, then by age
  kArrival,    ///< baseline: by age
};

/// Result of a round of offers.
struct OfferReport {
  std::size_t placed = 0;
  std::vector<AttemptId> blocked;  ///< first task of each rank that did not fit, candidate for a reserved start
};

/// Queues tasks that wait for capacity, and serves them by class of work and then by fair share.
///
/// There is one sub-queue for each class of work, team and failure domain, ordered by age. A round of offers visits the
/// heads of the sub-queues and a bounded number of tasks behind heads that do not fit. In the order kFairShare each
/// class of work is a rank, and so are starved tasks, which have waited too long.
class AdmissionQueue {
 public:
  /// Tasks of one rank visited and not placed in one round. Bounds the cost of a round on a long queue.
  static constexpr std::size_t kMaxSkippedPerRank = 4096;

  /// Tasks of one sub-queue visited and not placed in one round, after which the next team is served.
  static constexpr std::size_t kMaxSkippedPerSubQueue = 32;

  /// Tasks of one rank offered and not placed in one round.
  static constexpr std::size_t kMaxFailedOffersPerRank = 128;

  AdmissionQueue(const FairShare& fair_share, std::size_t max_size);

  void SetOrder(QueueOrder order) { m_order = order; }

  /// Uses learned instead of declared run times. The estimator must outlive the queue.
  void SetEstimator(const Estimator* estimator) { m_estimator = estimator; }

  /// Adds a task, replacing one with the same id. A full queue first drops tasks that are not expected to meet their
  /// deadline; TakeExpired() returns them.
  /// @return false if the queue is full and the task was not added
  bool Push(WaitingTask task);

  /// Complexity: logarithmic in the size of the queue, so that cancelling many tasks stays cheap.
  void Erase(const AttemptId& id);

  std::size_t size() const { return m_positions.size(); }

  /// @return the waiting task, or nullptr
  const WaitingTask* Find(const AttemptId& id) const;

  /// Passes waiting tasks to `place` in service order and removes those for which it returns true. `place` may push and
  /// erase tasks.
  void Dispatch(Time now, const std::function<bool(const WaitingTask&)>& place);

  /// As Dispatch, but `place` returns why a task was not placed, so that tasks of other teams which cannot be placed
  /// for the same reason are not offered either.
  OfferReport Offer(Time now, const std::function<OfferOutcome(const WaitingTask&)>& place);

  /// As Offer, for previews and urgent tasks only. Cheap enough to run whenever such a task arrives.
  OfferReport OfferInteractive(Time now, const std::function<OfferOutcome(const WaitingTask&)>& place);

  /// Offers the task before all others from now on. For tasks with a reserved start.
  void Prefer(const AttemptId& id);

  /// Removes and returns the tasks whose latest start has passed, and those dropped by Push().
  std::vector<WaitingTask> TakeExpired(Time now);

  std::size_t MemoryBytes() const;

 private:
  using Age = std::pair<Time, std::uint64_t>;  ///< time of queueing and sequence number
  using QueueKey = std::tuple<WorkClass, TeamId, DomainId>;

  struct Entry {
    WaitingTask task;
    Time latest_start;
    std::int64_t run_ms = 0;  ///< expected run time, the maximum value if unknown
  };
  struct SubQueue {
    WorkClass work_class = WorkClass::kBatch;
    std::map<Age, Entry> entries;
  };
  struct Position {
    SubQueue* queue = nullptr;
    Age age;
  };
  struct AttemptHash {
    std::size_t operator()(const AttemptId& id) const {
      return std::hash<TaskId>()(id.task) + static_cast<std::size_t>(id.attempt);
    }
  };

  /// Next task of a sub-queue to offer in a round.
  struct Cursor {
    int rank = 0;
    std::size_t skipped = 0;
    double score = 0;
    std::size_t placed = 0;  ///< tasks placed in the round when the score was computed
    Age age;
    const QueueKey* key = nullptr;
    SubQueue* queue = nullptr;

    auto OrderKey() const { return std::tie(rank, score, age); }
  };
  /// A demand that was not placed in this round.
  struct FailedDemand {
    Resources demand;
    DomainId domain;
    std::int64_t run_ms = 0;
    bool is_preview = false;
    const SubQueue* only_queue = nullptr;  ///< if set, applies to this sub-queue only
  };
  struct Round;

  SubQueue& GetSubQueue(const TaskSpec& spec);
  std::int64_t ExpectedRunMs(const TaskSpec& spec) const;
  Entry Extract(const Position& position);
  void ShedLateTasks(Time now);
  bool MeetsDeadline(const Entry& entry, std::size_t ahead, Time now) const;
  int RankOf(WorkClass work_class, Time since, Time now) const;
  std::optional<Cursor> MakeCursor(const QueueKey& key, SubQueue& queue, Time now) const;
  std::optional<Cursor> Advance(Cursor cursor, std::size_t newly_skipped, Time now) const;
  double ScoreOf(const QueueKey& key, Time now) const;
  OfferReport RunRound(Round& round, bool interactive_only);
  void OfferPreferred(Round& round);
  void CollectCursors(Round& round, bool interactive_only);
  void OfferRanked(Round& round);
  bool OfferNext(Round& round, const Cursor& cursor);
  static void RecordFailedDemand(Round& round, FailedDemand failed_demand);
  OfferOutcome OfferEntry(Round& round, SubQueue& queue, const Age& age);
  static bool IsKnownNotToFit(const Round& round, const SubQueue& queue, const Entry& entry);
  void DropEmptyQueues();

  const FairShare& m_fair_share;
  const Estimator* m_estimator = nullptr;
  std::size_t m_max_size;
  QueueOrder m_order = QueueOrder::kFairShare;
  std::uint64_t m_next_sequence = 0;
  std::map<QueueKey, SubQueue> m_queues;
  std::unordered_map<AttemptId, Position, AttemptHash> m_positions;
  std::map<std::pair<Time, std::uint64_t>, Position> m_latest_starts;
  std::vector<AttemptId> m_preferred;
  std::vector<WaitingTask> m_shed;
  DrainRate m_drain_rate;
  Time m_next_shed;
  bool m_offering = false;
  std::vector<std::map<Age, Entry>::node_type> m_removed;  ///< kept until the end of a round, which may refer to them
};

}  // namespace jaymast
