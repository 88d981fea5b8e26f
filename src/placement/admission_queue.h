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

/// A request for capacity that waits at the owner of upstreams.
struct WaitingTask {
  AttemptId id;
  TaskSpec spec;
  EntryId from;  ///< entry that asked
  Time since;
  Time deadline;                 ///< dropped when it is not placed by then
  Time finish_by = Time::max();  ///< dropped when its expected end would be later
};

/// What became of a task that was offered for placement.
enum class OfferOutcome {
  kPlaced,
  kNoCapacity,            ///< does not fit now; equal and larger demands need not be offered
  kBlockedByReservation,  ///< capacity is reserved for another task; shorter tasks may fit
  kRefused,               ///< not placed for a reason that concerns its team only, such as the team's limit
};

/// Order in which waiting tasks are served.
enum class QueueOrder {
  kFairShare,  ///< by class of work, then by fair share, then by age
  kPriority,   ///< baseline: by class of work, then by age
  kArrival,    ///< baseline: by age
};

/// Result of a round of offers.
struct OfferReport {
  std::size_t placed = 0;
  std::vector<AttemptId> blocked;  ///< first task of each rank that did not fit; candidates for a reserved start
};

/// Requests that wait for capacity at an owner, served by class of work and then by fair share.
///
/// Tasks are kept in sub-queues per class of work, team and failure domain, each in order of age. A round of offers
/// looks at the heads of the sub-queues and at a bounded number of tasks behind heads that do not fit.
class AdmissionQueue {
 public:
  /// Tasks looked at and not taken in one round, for each rank of service. Bounds the cost of a round on a long queue.
  static constexpr std::size_t kMaxSkipped = 4096;

  /// The same for each sub-queue. A team below its share gets this many tries before the next team has a turn.
  static constexpr std::size_t kMaxSkippedOfQueue = 32;

  /// Tasks offered and not taken in one round, for each rank of service.
  static constexpr std::size_t kMaxFailedOffers = 128;

  AdmissionQueue(const FairShare& fair_share, std::size_t max_size);

  void SetOrder(QueueOrder order) { m_order = order; }

  /// Uses learned run times for deadlines and backfill in place of declared ones. Must outlive the queue.
  void SetEstimator(const Estimator* estimator) { m_estimator = estimator; }

  /// A full queue first sheds tasks that are not expected to meet their deadline; TakeExpired() returns them.
  /// @return false when the queue is full and the task was not added
  bool Push(WaitingTask task);

  /// Complexity: logarithmic in the size of the queue, so cancellations cost in proportion to the cancelled work.
  void Erase(const AttemptId& id);

  std::size_t size() const { return m_positions.size(); }

  /// The waiting task, or nullptr.
  const WaitingTask* Find(const AttemptId& id) const;

  /// Offers waiting tasks in policy order to `place`, which returns whether it took the task. Taken tasks leave the
  /// queue. `place` may push and erase tasks.
  void Dispatch(Time now, const std::function<bool(const WaitingTask&)>& place);

  /// As Dispatch. Tasks that do not fit do not delay the smaller ones behind them.
  OfferReport Offer(Time now, const std::function<OfferOutcome(const WaitingTask&)>& place);

  /// As Offer, for previews and urgent tasks only. Costs little, so that it can run whenever such a task arrives.
  OfferReport OfferInteractive(Time now, const std::function<OfferOutcome(const WaitingTask&)>& place);

  /// Offers a task before all others from now on, because capacity is reserved for it.
  void Prefer(const AttemptId& id);

  /// Removes and returns the tasks whose deadline has passed or cannot be met.
  std::vector<WaitingTask> TakeExpired(Time now);

  std::size_t MemoryBytes() const;

 private:
  using Age = std::pair<Time, std::uint64_t>;
  using QueueKey = std::tuple<WorkClass, TeamId, DomainId>;

  struct Entry {
    WaitingTask task;
    Time latest_start;
    std::int64_t run_ms = 0;  ///< expected run time, the largest value when unknown
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

  /// Next task of a sub-queue in a round of offers.
  struct Cursor {
    int rank = 0;
    std::size_t skipped = 0;
    double score = 0;
    std::size_t taken = 0;  ///< tasks taken in the round when the score was computed
    Age age;
    const QueueKey* key = nullptr;
    SubQueue* queue = nullptr;

    auto OrderKey() const { return std::tie(rank, score, age); }
  };
  /// A demand that did not fit in this round.
  struct Failure {
    Resources demand;
    DomainId domain;
    std::int64_t run_ms = 0;
    bool preview = false;
    const SubQueue* only = nullptr;  ///< applies to this sub-queue alone when set
  };
  struct Round;

  SubQueue& QueueOf(const TaskSpec& spec);
  std::int64_t RunTime(const TaskSpec& spec) const;
  Entry TakeOut(const Position& position);
  void Shed(Time now);
  bool MeetsDeadline(const Entry& entry, std::size_t ahead, Time now) const;
  int RankOf(WorkClass work_class, Time since, Time now) const;
  std::optional<Cursor> MakeCursor(const QueueKey& key, SubQueue& queue, Time now) const;
  std::optional<Cursor> Advance(Cursor cursor, std::size_t passed, Time now) const;
  double ScoreOf(const QueueKey& key, Time now) const;
  OfferReport Run(Round& round, bool interactive_only);
  void OfferPreferred(Round& round);
  void CollectCursors(Round& round, bool interactive_only);
  void OfferRanked(Round& round);
  bool OfferAt(Round& round, const Cursor& cursor);
  static void Remember(Round& round, Failure failure);
  OfferOutcome OfferEntry(Round& round, SubQueue& queue, const Age& age);
  static bool IsHopeless(const Round& round, const SubQueue& queue, const Entry& entry);
  void DropEmptyQueues();

  const FairShare& m_fair_share;
  const Estimator* m_estimator = nullptr;
  std::size_t m_max_size;
  QueueOrder m_order = QueueOrder::kFairShare;
  std::uint64_t m_next_number = 0;
  std::map<QueueKey, SubQueue> m_queues;
  std::unordered_map<AttemptId, Position, AttemptHash> m_positions;
  std::map<std::pair<Time, std::uint64_t>, Position> m_latest_starts;
  std::vector<AttemptId> m_preferred;
  std::vector<WaitingTask> m_shed;
  DrainRate m_drain_rate;
  Time m_next_shed;
  bool m_offering = false;
  std::vector<std::map<Age, Entry>::node_type> m_removed;  ///< during a round, which may still refer to them
};

}  // namespace jaymast
