#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "cell/client_call.h"
#include "cell/state_store.h"
#include "jobs/job_spec.h"

namespace jaymast {

inline constexpr const char* kEarlyCancelTable = "cancels";

/// Remembers cancels of unknown jobs, so that a submission that arrives after its cancel does not run.
///
/// A submission may be on its way when its cancel is decided: it waits at an instance, is sent again to the next
/// leader, or a broken connection delivers a copy of it late. Each cancel is therefore kept, and recorded in the store
/// for the next leader, until no submission that was sent before it can arrive any more.
///
/// Cancels are appended to rows that share one deadline. A row takes cancels for a short time, so a repeated cancel
/// that is still in the open row needs no write. The bytes of all rows are bounded in total and for each organisation.
class EarlyCancels {
 public:
  /// The job that a cancel refers to. Other queues and organisations may use the same id.
  struct Key {
    JobId job;
    QueueId queue;
    TeamId team;  ///< empty on a public queue, where any client may cancel any job

    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the zero in the generated comparison for a pointer
    friend auto operator<=>(const Key&, const Key&) = default;
    friend bool operator==(const Key&, const Key&) = default;
  };

  /// Loads a row that an earlier leader has written.
  /// @param store_now_ms store clock at `now`, or earlier
  /// @return whether the row is readable
  bool LoadRow(const StateRow& row, std::int64_t store_now_ms, Time now);

  /// Keeps a cancel.
  /// @return false if there is no room for it before RoomAt()
  bool Add(const Key& key, std::int64_t store_now_ms, Time now);
  bool Contains(const Key& key, Time now);
  /// When cancels of the organisation can be kept again.
  Time RoomAt(const TeamId& team) const;

  /// Calls `action` once all cancels that were added up to now are committed.
  void WhenCommitted(std::function<void()> action);
  /// Returns up to `max_rows` changed rows and removals of expired ones.
  std::vector<StateWrite> TakeWrites(std::size_t max_rows, Time now);
  bool has_changes() const { return !m_changed_rows.empty(); }
  /// Number of the last cancel in the rows that TakeWrites() has returned.
  std::uint64_t written_change() const { return m_written_change; }
  /// Cancels up to this number are in the store.
  void OnCommitted(std::uint64_t change);

  std::size_t size() const { return m_row_of.size(); }
  std::size_t bytes() const { return m_bytes; }

  /// Time in which a copy of a call that was delayed by a partition or a paused process arrives.
  static constexpr Duration kMaxDelay{15'000'000};
  /// A submission that was sent before its cancel arrives within this time.
  static constexpr Duration kRetention = kMaxCallDuration + kMaxDelay;
  /// Time for which a row takes cancels.
  static constexpr Duration kRowSpan{5'000'000};
  static constexpr std::size_t kRowBytes = 4'096;
  static constexpr std::size_t kMaxBytes = std::size_t{256} * 1024;
  static constexpr std::size_t kMaxTeamBytes = kMaxBytes / 4;

 private:
  using RowNumber = std::int64_t;

  struct Row {
    Time closes_at{};  ///< takes no cancels from then on
    Time until{};      ///< its cancels are kept until then
    std::string text;
    std::vector<std::pair<Key, std::size_t>> cancels;  ///< with their bytes
    std::uint64_t last_change = 0;                     ///< number of its last cancel
    bool is_stored = false;                            ///< was written
  };

  void DropExpired(Time now);
  std::size_t TeamBytes(const TeamId& team) const;
  /// Row that takes the next cancel, a new one if the newest has closed or lacks space for `bytes`.
  std::pair<const RowNumber, Row>& OpenRow(std::size_t bytes, std::int64_t store_now_ms, Time now);
  void Insert(RowNumber number, Row& row, const Key& key, std::size_t bytes);

  std::map<RowNumber, Row> m_rows;
  RowNumber m_next_row = 1;
  std::map<Key, RowNumber> m_row_of;  ///< the newest row with the cancel
  std::map<TeamId, std::size_t> m_team_bytes;
  std::size_t m_bytes = 0;
  std::set<RowNumber> m_changed_rows;
  std::vector<RowNumber> m_removed_rows;  ///< to be removed from the store
  std::uint64_t m_change = 0;             ///< number of the last cancel that was added
  std::uint64_t m_written_change = 0;
  std::uint64_t m_committed_change = 0;
  std::deque<std::pair<std::uint64_t, std::function<void()>>> m_commit_callbacks;
};

}  // namespace jaymast
