#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <queue>
#include <utility>

#include "placement/admission_queue.h"
#include "placement/fair_share.h"

namespace jaymast {
namespace {

constexpr std::size_t kRanks = 6;

/// Rank of each class of work in the service order, indexed by WorkClass. Rank 2 is for starved tasks.
constexpr std::array<int, EnumNames<WorkClass>::kNames.size()> kClassRank = {0, 1, 3, 5, 4};
constexpr int kStarvedRank = 2;

/// Waiting time after which a task counts as starved. Shorter for gangs: they need capacity on several upstreams at
/// once and lose it to single tasks.
constexpr Duration kGangStarvationAge = std::chrono::minutes(2);
constexpr Duration kStarvationAge = std::chrono::minutes(10);

/// When a task would delay a reserved start, tasks of equal or larger demand are offered in the same round only if
/// their expected run time is less than that of the task divided by this.
constexpr std::int64_t kRunTimeDivisor = 2;

/// Failed demands recorded in one round. Each task is compared with all of them.
constexpr std::size_t kMaxFailedDemands = 32;

}  // namespace

/// State of one round of offers.
struct AdmissionQueue::Round {
  struct ServedLater {
    bool operator()(const Cursor& a, const Cursor& b) const { return b.OrderKey() < a.OrderKey(); }
  };

  Time now;
  const std::function<OfferOutcome(const WaitingTask&)>& place;
  std::priority_queue<Cursor, std::vector<Cursor>, ServedLater> cursors;
  std::array<std::size_t, kRanks> skipped{};
  std::array<std::size_t, kRanks> failed_offers{};
  std::array<bool, kRanks> is_blocked{};
  std::vector<FailedDemand> failed_demands;
  OfferReport report;
};

void AdmissionQueue::Dispatch(Time now, const std::function<bool(const WaitingTask&)>& place) {
  Offer(now,
        [&place](const WaitingTask& task) { return place(task) ? OfferOutcome::kPlaced : OfferOutcome::kRefused; });
}

OfferReport AdmissionQueue::Offer(Time now, const std::function<OfferOutcome(const WaitingTask&)>& place) {
  Round round{now, place, {}, {}, {}, {}, {}, {}};
  return RunRound(round, false);
}

OfferReport AdmissionQueue::OfferInteractive(Time now, const std::function<OfferOutcome(const WaitingTask&)>& place) {
  Round round{now, place, {}, {}, {}, {}, {}, {}};
  return RunRound(round, true);
}

OfferReport AdmissionQueue::RunRound(Round& round, bool interactive_only) {
  m_offering = true;
  if (!interactive_only) OfferPreferred(round);
  CollectCursors(round, interactive_only);
  OfferRanked(round);
  m_offering = false;
  m_removed.clear();
  m_drain_rate.OnDequeued(round.report.placed, round.now);
  DropEmptyQueues();
  return round.report;
}

int AdmissionQueue::RankOf(WorkClass work_class, Time since, Time now) const {
  if (m_order == QueueOrder::kArrival) return 0;
  const int rank = kClassRank.at(static_cast<std::size_t>(work_class));
  if (m_order == QueueOrder::kPriority || rank < kStarvedRank) return rank;
  const Duration limit = work_class == WorkClass::kGang ? kGangStarvationAge : kStarvationAge;
  return since + limit <= now ? kStarvedRank : rank;
}

std::optional<AdmissionQueue::Cursor> AdmissionQueue::MakeCursor(const QueueKey& key, SubQueue& queue, Time now) const {
  if (queue.entries.empty()) return std::nullopt;
  const Age oldest = queue.entries.begin()->first;
  return Cursor{RankOf(queue.work_class, oldest.first, now), 0, ScoreOf(key, now), 0, oldest, &key, &queue};
}

std::optional<AdmissionQueue::Cursor> AdmissionQueue::Advance(Cursor cursor, std::size_t newly_skipped,
                                                              Time now) const {
  const auto next = cursor.queue->entries.upper_bound(cursor.age);
  if (next == cursor.queue->entries.end()) return std::nullopt;
  cursor.age = next->first;
  cursor.rank = RankOf(cursor.queue->work_class, cursor.age.first, now);
  cursor.skipped += newly_skipped;
  return cursor;
}

double AdmissionQueue::ScoreOf(const QueueKey& key, Time now) const {
  return m_order == QueueOrder::kFairShare ? m_fair_share.Score(std::get<TeamId>(key), now) : 0.0;
}

void AdmissionQueue::OfferPreferred(Round& round) {
  const std::vector<AttemptId> preferred = m_preferred;
  for (const AttemptId& id : preferred) {
    const auto known = m_positions.find(id);
    if (known == m_positions.end()) {
      std::erase(m_preferred, id);
      continue;
    }
    const Position position = known->second;
    OfferEntry(round, *position.queue, position.age);
  }
  // Tasks without a reserved start may fit where a preferred task does not.
  round.failed_demands.clear();
}

void AdmissionQueue::CollectCursors(Round& round, bool interactive_only) {
  for (auto& [key, queue] : m_queues) {
    // Keys are ordered by class, and the first two classes are interactive.
    if (interactive_only && queue.work_class > WorkClass::kUrgent) break;
    const auto cursor = MakeCursor(key, queue, round.now);
    if (cursor) round.cursors.push(*cursor);
  }
}

void AdmissionQueue::OfferRanked(Round& round) {
  while (!round.cursors.empty()) {
    Cursor cursor = round.cursors.top();
    round.cursors.pop();
    if (cursor.placed != round.report.placed) {
      // Placements since then may have changed the score of the team, also through its other sub-queues.
      cursor.placed = round.report.placed;
      cursor.score = ScoreOf(*cursor.key, round.now);
      round.cursors.push(cursor);
      continue;
    }
    const auto rank = static_cast<std::size_t>(cursor.rank);
    if (round.skipped[rank] >= kMaxSkippedPerRank || round.failed_offers[rank] >= kMaxFailedOffersPerRank) continue;
    if (cursor.skipped >= kMaxSkippedPerSubQueue) continue;
    const std::size_t newly_skipped = OfferNext(round, cursor) ? 0 : 1;
    round.skipped[rank] += newly_skipped;
    const auto next = Advance(cursor, newly_skipped, round.now);
    if (next) round.cursors.push(*next);
  }
}

bool AdmissionQueue::OfferNext(Round& round, const Cursor& cursor) {
  const auto found = cursor.queue->entries.find(cursor.age);
  if (found == cursor.queue->entries.end()) return true;
  if (IsKnownNotToFit(round, *cursor.queue, found->second)) return false;
  const OfferOutcome outcome = OfferEntry(round, *cursor.queue, cursor.age);
  if (outcome == OfferOutcome::kPlaced) return true;
  ++round.failed_offers[static_cast<std::size_t>(cursor.rank)];
  return false;
}

OfferOutcome AdmissionQueue::OfferEntry(Round& round, SubQueue& queue, const Age& age) {
  const WaitingTask& task = queue.entries.find(age)->second.task;
  const AttemptId id = task.id;
  const OfferOutcome outcome = round.place(task);
  // The callback may have erased the task or pushed it again.
  const auto known = m_positions.find(id);
  const bool is_unchanged = known != m_positions.end() && known->second.queue == &queue && known->second.age == age;
  if (outcome == OfferOutcome::kPlaced) {
    ++round.report.placed;
    if (is_unchanged) Extract(Position(known->second));
    return outcome;
  }
  const bool lacks_capacity = outcome == OfferOutcome::kNoCapacity || outcome == OfferOutcome::kBlockedByReservation;
  const auto rank = static_cast<std::size_t>(RankOf(queue.work_class, age.first, round.now));
  if (lacks_capacity && !std::exchange(round.is_blocked[rank], true)) round.report.blocked.push_back(id);
  if (!is_unchanged) return outcome;
  const Entry& entry = queue.entries.find(age)->second;
  FailedDemand failed_demand{entry.task.spec.demand, entry.task.spec.domain, 0, queue.work_class == WorkClass::kPreview,
                             nullptr};
  if (outcome == OfferOutcome::kBlockedByReservation) failed_demand.run_ms = entry.run_ms;
  if (outcome == OfferOutcome::kRefused) failed_demand.only_queue = &queue;
  RecordFailedDemand(round, std::move(failed_demand));
  return outcome;
}

void AdmissionQueue::RecordFailedDemand(Round& round, FailedDemand failed_demand) {
  // A failed demand makes larger ones redundant.
  std::erase_if(round.failed_demands, [&failed_demand](const FailedDemand& other) {
    const bool same_scope = failed_demand.only_queue == other.only_queue && failed_demand.domain == other.domain;
    const bool makes_redundant = failed_demand.is_preview >= other.is_preview && failed_demand.run_ms <= other.run_ms;
    return same_scope && makes_redundant && failed_demand.demand.FitsIn(other.demand);
  });
  if (round.failed_demands.size() < kMaxFailedDemands) round.failed_demands.push_back(std::move(failed_demand));
}

bool AdmissionQueue::IsKnownNotToFit(const Round& round, const SubQueue& queue, const Entry& entry) {
  const bool is_preview = queue.work_class == WorkClass::kPreview;
  const TaskSpec& spec = entry.task.spec;
  return std::any_of(round.failed_demands.begin(), round.failed_demands.end(), [&](const FailedDemand& failed_demand) {
    if (failed_demand.only_queue != nullptr && failed_demand.only_queue != &queue) return false;
    // Previews may use the headroom, which other work may not.
    if (is_preview && !failed_demand.is_preview) return false;
    if (!failed_demand.domain.empty() && failed_demand.domain != spec.domain) return false;
    return entry.run_ms >= failed_demand.run_ms / kRunTimeDivisor && failed_demand.demand.FitsIn(spec.demand);
  });
}

}  // namespace jaymast
