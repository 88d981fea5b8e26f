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

/// Rank of a class of work in the order of service, indexed by WorkClass. Rank 2 is for tasks that have waited too
/// long.
constexpr std::array<int, EnumNames<WorkClass>::kNames.size()> kClassRank = {0, 1, 3, 5, 4};
constexpr int kStarvedRank = 2;

/// A gang needs capacity on several workers at once and loses to single tasks, so it moves up early.
constexpr Duration kGangStarvation = std::chrono::minutes(2);
constexpr Duration kStarvation = std::chrono::minutes(10);

/// A task that would delay a reserved start makes only tasks of at most this part of its run time worth an offer.
constexpr std::int64_t kShorter = 2;

/// Demands remembered as not fitting in one round. Tasks are compared with each of them.
constexpr std::size_t kMaxFailures = 32;

}  // namespace

/// State of one round of offers.
struct AdmissionQueue::Round {
  struct Later {
    bool operator()(const Cursor& a, const Cursor& b) const { return b.OrderKey() < a.OrderKey(); }
  };

  Time now;
  const std::function<OfferOutcome(const WaitingTask&)>& place;
  std::priority_queue<Cursor, std::vector<Cursor>, Later> cursors;
  std::array<std::size_t, kRanks> skipped{};
  std::array<std::size_t, kRanks> failed_offers{};
  std::array<bool, kRanks> is_blocked{};
  std::vector<Failure> failures;
  OfferReport report;
};

void AdmissionQueue::Dispatch(Time now, const std::function<bool(const WaitingTask&)>& place) {
  Offer(now,
        [&place](const WaitingTask& task) { return place(task) ? OfferOutcome::kPlaced : OfferOutcome::kRefused; });
}

OfferReport AdmissionQueue::Offer(Time now, const std::function<OfferOutcome(const WaitingTask&)>& place) {
  Round round{now, place, {}, {}, {}, {}, {}, {}};
  return Run(round, false);
}

OfferReport AdmissionQueue::OfferInteractive(Time now, const std::function<OfferOutcome(const WaitingTask&)>& place) {
  Round round{now, place, {}, {}, {}, {}, {}, {}};
  return Run(round, true);
}

OfferReport AdmissionQueue::Run(Round& round, bool interactive_only) {
  m_offering = true;
  if (!interactive_only) OfferPreferred(round);
  CollectCursors(round, interactive_only);
  OfferRanked(round);
  m_offering = false;
  m_removed.clear();
  m_drain_rate.OnTaken(round.report.placed, round.now);
  DropEmptyQueues();
  return round.report;
}

int AdmissionQueue::RankOf(WorkClass work_class, Time since, Time now) const {
  if (m_order == QueueOrder::kArrival) return 0;
  const int rank = kClassRank.at(static_cast<std::size_t>(work_class));
  if (m_order == QueueOrder::kPriority || rank < kStarvedRank) return rank;
  const Duration limit = work_class == WorkClass::kGang ? kGangStarvation : kStarvation;
  return since + limit <= now ? kStarvedRank : rank;
}

std::optional<AdmissionQueue::Cursor> AdmissionQueue::MakeCursor(const QueueKey& key, SubQueue& queue, Time now) const {
  if (queue.entries.empty()) return std::nullopt;
  const Age oldest = queue.entries.begin()->first;
  return Cursor{RankOf(queue.work_class, oldest.first, now), 0, ScoreOf(key, now), 0, oldest, &key, &queue};
}

std::optional<AdmissionQueue::Cursor> AdmissionQueue::Advance(Cursor cursor, std::size_t passed, Time now) const {
  const auto next = cursor.queue->entries.upper_bound(cursor.age);
  if (next == cursor.queue->entries.end()) return std::nullopt;
  cursor.age = next->first;
  cursor.rank = RankOf(cursor.queue->work_class, cursor.age.first, now);
  cursor.skipped += passed;
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
  // A preferred task that does not fit says nothing about tasks without a reserved start.
  round.failures.clear();
}

void AdmissionQueue::CollectCursors(Round& round, bool interactive_only) {
  for (auto& [key, queue] : m_queues) {
    // The keys are in order of class, and the interactive classes are the first two.
    if (interactive_only && queue.work_class > WorkClass::kUrgent) break;
    const auto cursor = MakeCursor(key, queue, round.now);
    if (cursor) round.cursors.push(*cursor);
  }
}

void AdmissionQueue::OfferRanked(Round& round) {
  while (!round.cursors.empty()) {
    Cursor cursor = round.cursors.top();
    round.cursors.pop();
    if (cursor.taken != round.report.placed) {
      // The team may have got capacity since, also through another of its sub-queues.
      cursor.taken = round.report.placed;
      cursor.score = ScoreOf(*cursor.key, round.now);
      round.cursors.push(cursor);
      continue;
    }
    const auto rank = static_cast<std::size_t>(cursor.rank);
    if (round.skipped[rank] >= kMaxSkipped || round.failed_offers[rank] >= kMaxFailedOffers) continue;
    if (cursor.skipped >= kMaxSkippedOfQueue) continue;
    const std::size_t passed = OfferAt(round, cursor) ? 0 : 1;
    round.skipped[rank] += passed;
    const auto next = Advance(cursor, passed, round.now);
    if (next) round.cursors.push(*next);
  }
}

bool AdmissionQueue::OfferAt(Round& round, const Cursor& cursor) {
  const auto found = cursor.queue->entries.find(cursor.age);
  if (found == cursor.queue->entries.end()) return true;
  if (IsHopeless(round, *cursor.queue, found->second)) return false;
  const OfferOutcome outcome = OfferEntry(round, *cursor.queue, cursor.age);
  if (outcome == OfferOutcome::kPlaced) return true;
  ++round.failed_offers[static_cast<std::size_t>(cursor.rank)];
  return false;
}

OfferOutcome AdmissionQueue::OfferEntry(Round& round, SubQueue& queue, const Age& age) {
  const WaitingTask& task = queue.entries.find(age)->second.task;
  const AttemptId id = task.id;
  const OfferOutcome outcome = round.place(task);
  // The callback may have erased the task, or pushed it again.
  const auto known = m_positions.find(id);
  const bool is_same = known != m_positions.end() && known->second.queue == &queue && known->second.age == age;
  if (outcome == OfferOutcome::kPlaced) {
    ++round.report.placed;
    if (is_same) TakeOut(Position(known->second));
    return outcome;
  }
  const bool lacks_capacity = outcome == OfferOutcome::kNoCapacity || outcome == OfferOutcome::kBlockedByReservation;
  const auto rank = static_cast<std::size_t>(RankOf(queue.work_class, age.first, round.now));
  if (lacks_capacity && !std::exchange(round.is_blocked[rank], true)) round.report.blocked.push_back(id);
  if (!is_same) return outcome;
  const Entry& entry = queue.entries.find(age)->second;
  Failure failure{entry.task.spec.demand, entry.task.spec.domain, 0, queue.work_class == WorkClass::kPreview, nullptr};
  if (outcome == OfferOutcome::kBlockedByReservation) failure.run_ms = entry.run_ms;
  if (outcome == OfferOutcome::kRefused) failure.only = &queue;
  Remember(round, std::move(failure));
  return outcome;
}

void AdmissionQueue::Remember(Round& round, Failure failure) {
  // A smaller demand that failed makes the larger ones redundant.
  std::erase_if(round.failures, [&failure](const Failure& other) {
    const bool same_scope = failure.only == other.only && failure.domain == other.domain;
    const bool covers = failure.preview >= other.preview && failure.run_ms <= other.run_ms;
    return same_scope && covers && failure.demand.FitsIn(other.demand);
  });
  if (round.failures.size() < kMaxFailures) round.failures.push_back(std::move(failure));
}

bool AdmissionQueue::IsHopeless(const Round& round, const SubQueue& queue, const Entry& entry) {
  const bool preview = queue.work_class == WorkClass::kPreview;
  const TaskSpec& spec = entry.task.spec;
  return std::any_of(round.failures.begin(), round.failures.end(), [&](const Failure& failure) {
    if (failure.only != nullptr && failure.only != &queue) return false;
    // Previews may use capacity that is closed to other work.
    if (preview && !failure.preview) return false;
    if (!failure.domain.empty() && failure.domain != spec.domain) return false;
    return entry.run_ms >= failure.run_ms / kShorter && failure.demand.FitsIn(spec.demand);
  });
}

}  // namespace jaymast
