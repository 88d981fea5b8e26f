#include "cell/early_cancels.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace jaymast {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart(Duration(1'000'000));
constexpr std::int64_t kStoreNowMs = 500'000;
constexpr std::size_t kAllRows = 1'000;

EarlyCancels::Key KeyOf(const std::string& job, const std::string& team = "team", const std::string& queue = "q") {
  return {JobId(job), QueueId(queue), TeamId(team)};
}

/// Store clock at a time.
std::int64_t StoreMs(Time now) { return kStoreNowMs + ToMillis(now - kStart); }

class EarlyCancelsTest : public testing::Test {
 protected:
  bool Add(const EarlyCancels::Key& key, Time now) { return m_cancels.Add(key, StoreMs(now), now); }

  /// Writes the changes to the rows of the store.
  void Write(Time now, std::size_t max_rows = kAllRows) {
    for (const StateWrite& write : m_cancels.TakeWrites(max_rows, now)) {
      EXPECT_EQ(write.table, kEarlyCancelTable);
      if (write.value) {
        m_rows[write.key] = *write.value;
      } else {
        EXPECT_EQ(m_rows.erase(write.key), 1U);
      }
    }
  }

  /// What a new leader loads.
  EarlyCancels Load(Time now) const {
    EarlyCancels loaded;
    for (const auto& [key, text] : m_rows) {
      EXPECT_TRUE(loaded.LoadRow({kEarlyCancelTable, key, text, 1}, StoreMs(now), now));
    }
    return loaded;
  }

  /// Adds cancels of one organisation until there is no room.
  /// @return their number
  int Fill(const std::string& team, Time now) {
    int count = 0;
    while (Add(KeyOf("job" + std::to_string(count), team), now)) ++count;
    return count;
  }

  EarlyCancels m_cancels;
  std::map<std::string, std::string> m_rows;
};

// Guards against a cancel that is forgotten while its submission may be on its way.
TEST_F(EarlyCancelsTest, KeepsCancelForItsRetention) {
  ASSERT_TRUE(Add(KeyOf("job"), kStart));
  EXPECT_TRUE(m_cancels.Contains(KeyOf("job"), kStart + EarlyCancels::kRetention));
  EXPECT_FALSE(m_cancels.Contains(KeyOf("other"), kStart));
}

// Guards against a cancel that applies to another job of the same id.
TEST_F(EarlyCancelsTest, KeepsQueuesAndOrganisationsApart) {
  ASSERT_TRUE(Add(KeyOf("job", "team", "q"), kStart));
  EXPECT_FALSE(m_cancels.Contains(KeyOf("job", "other", "q"), kStart));
  EXPECT_FALSE(m_cancels.Contains(KeyOf("job", "team", "p"), kStart));
}

// Guards against memory and rows that are held for ever.
TEST_F(EarlyCancelsTest, ForgetsCancelsAndRemovesTheirRows) {
  ASSERT_TRUE(Add(KeyOf("job"), kStart));
  Write(kStart);
  ASSERT_EQ(m_rows.size(), 1U);
  const Time end = kStart + EarlyCancels::kRetention + EarlyCancels::kRowSpan;
  EXPECT_FALSE(m_cancels.Contains(KeyOf("job"), end));
  EXPECT_EQ(m_cancels.size(), 0U);
  EXPECT_EQ(m_cancels.bytes(), 0U);
  Write(end);
  EXPECT_TRUE(m_rows.empty());
}

// Guards against a repeated cancel that is kept only as long as the first one, or written each time.
TEST_F(EarlyCancelsTest, RepeatedCancelIsKeptForItsOwnRetention) {
  ASSERT_TRUE(Add(KeyOf("job"), kStart));
  Write(kStart);
  for (Time now = kStart; now < kStart + seconds(60); now += milliseconds(100)) {
    ASSERT_TRUE(Add(KeyOf("job"), now));
    Write(now);
    ASSERT_TRUE(Load(now + EarlyCancels::kRetention - milliseconds(1))
                    .Contains(KeyOf("job"), now + EarlyCancels::kRetention - milliseconds(1)));
  }
  EXPECT_LE(m_rows.size(), 8U);
}

// Guards against cancels that a new leader does not know, or keeps for another time.
TEST_F(EarlyCancelsTest, NewLeaderKeepsCancelsUntilTheSameTime) {
  const std::vector<std::string> jobs = {"0e704eb897d31642", "%C3%B8", "\xc3\xb8", "a/b?c", "\"}"};
  for (const std::string& job : jobs) ASSERT_TRUE(Add(KeyOf(job, "team \"x\"\n", "queue \xc3\xb8"), kStart));
  Write(kStart);
  const Time taken_over_at = kStart + seconds(10);
  EarlyCancels loaded = Load(taken_over_at);
  EXPECT_EQ(loaded.size(), jobs.size());
  EXPECT_EQ(loaded.bytes(), m_cancels.bytes());
  const Time end = kStart + EarlyCancels::kRetention + EarlyCancels::kRowSpan;
  for (const std::string& job : jobs) {
    EXPECT_TRUE(loaded.Contains(KeyOf(job, "team \"x\"\n", "queue \xc3\xb8"), end - milliseconds(1))) << job;
  }
  EXPECT_FALSE(loaded.Contains(KeyOf(jobs.front(), "team \"x\"\n", "queue \xc3\xb8"), end));
}

// Guards against a row of an earlier leader that is overwritten with its cancels.
TEST_F(EarlyCancelsTest, NewLeaderAppendsToRowsOfItsOwn) {
  ASSERT_TRUE(Add(KeyOf("first"), kStart));
  Write(kStart);
  m_cancels = Load(kStart + milliseconds(100));
  ASSERT_TRUE(Add(KeyOf("first"), kStart + milliseconds(100)));
  ASSERT_TRUE(Add(KeyOf("second"), kStart + milliseconds(100)));
  Write(kStart + milliseconds(100));
  EXPECT_EQ(m_rows.size(), 2U);
  EarlyCancels loaded = Load(kStart + milliseconds(200));
  EXPECT_TRUE(loaded.Contains(KeyOf("first"), kStart + milliseconds(200)));
  EXPECT_TRUE(loaded.Contains(KeyOf("second"), kStart + milliseconds(200)));
}

// Guards against a malformed row that keeps the readable cancels from being loaded.
TEST_F(EarlyCancelsTest, MalformedRowsAreReported) {
  const auto load = [this](const std::string& key, const std::string& text) {
    return m_cancels.LoadRow({kEarlyCancelTable, key, text, 1}, kStoreNowMs, kStart);
  };
  EXPECT_FALSE(load("row", "600000\n"));
  EXPECT_FALSE(load("1", ""));
  EXPECT_FALSE(load("2", "soon\n"));
  EXPECT_FALSE(load("2", "-9223372036854775808\n"));
  EXPECT_FALSE(load("3", "600000\njob\n"));
  EXPECT_FALSE(load("4", "600000\njob {}\nother {\"q\":\"q\",\"t\":\"team\"}\ncut {\"q\":\"q\""));
  EXPECT_TRUE(m_cancels.Contains(KeyOf("other"), kStart));
}

// Guards against a row that is kept for ever because of a deadline that is far away.
TEST_F(EarlyCancelsTest, DeadlineOfLoadedRowIsBounded) {
  const StateRow row{kEarlyCancelTable, "1", "9223372036854775807\njob {\"q\":\"q\",\"t\":\"team\"}\n", 1};
  ASSERT_TRUE(m_cancels.LoadRow(row, kStoreNowMs, kStart));
  EXPECT_TRUE(m_cancels.Contains(KeyOf("job"), kStart));
  EXPECT_FALSE(m_cancels.Contains(KeyOf("job"), kStart + seconds(120)));
}

// Guards against an organisation that takes all room, and against room that is never free again.
TEST_F(EarlyCancelsTest, RoomOfAnOrganisationIsBounded) {
  const int kept = Fill("scanner", kStart);
  EXPECT_GT(kept, 500);
  EXPECT_LE(m_cancels.bytes(), EarlyCancels::kMaxTeamBytes);
  EXPECT_TRUE(Add(KeyOf("job"), kStart));
  Write(kStart);
  EXPECT_TRUE(Add(KeyOf("job0", "scanner"), kStart)) << "is kept already";
  const Time room_at = m_cancels.RoomAt(TeamId("scanner"));
  EXPECT_FALSE(Add(KeyOf("next", "scanner"), room_at - milliseconds(1)));
  EXPECT_TRUE(Add(KeyOf("next", "scanner"), room_at));
}

// Guards against memory and rows that grow with the number of organisations.
TEST_F(EarlyCancelsTest, RoomOfAllOrganisationsIsBounded) {
  for (int team = 0; team < 8; ++team) Fill("team" + std::to_string(team), kStart);
  EXPECT_LE(m_cancels.bytes(), EarlyCancels::kMaxBytes);
  EXPECT_FALSE(Add(KeyOf("job"), kStart));
  const Time room_at = m_cancels.RoomAt(TeamId("team"));
  EXPECT_GT(room_at, kStart);
  EXPECT_TRUE(Add(KeyOf("job"), room_at));
}

// Guards against rows that the store rejects.
TEST_F(EarlyCancelsTest, RowsAreBounded) {
  constexpr std::size_t kLongId = 16'384;
  ASSERT_TRUE(Add(KeyOf(std::string(kLongId, 'x')), kStart));
  Fill("team", kStart);
  Write(kStart);
  EXPECT_GT(m_rows.size(), 3U);
  for (const auto& [key, text] : m_rows) EXPECT_LE(text.size(), EarlyCancels::kRowBytes + kLongId);
}

// Guards against an acknowledgement before the row of the cancel is in the store.
TEST_F(EarlyCancelsTest, ActionsWaitForTheRowsBeforeThem) {
  int early = 0;
  int late = 0;
  ASSERT_TRUE(Add(KeyOf(std::string(EarlyCancels::kRowBytes, 'x')), kStart));
  m_cancels.WhenCommitted([&early] { ++early; });
  ASSERT_TRUE(Add(KeyOf("job"), kStart));
  m_cancels.WhenCommitted([&late] { ++late; });
  Write(kStart, 1);
  EXPECT_TRUE(m_cancels.has_changes()) << "there was room for one row only";
  const std::uint64_t first = m_cancels.written_change();
  Write(kStart, 1);
  EXPECT_EQ(early + late, 0);
  m_cancels.OnCommitted(first);
  EXPECT_EQ(early, 1);
  EXPECT_EQ(late, 0);
  m_cancels.OnCommitted(m_cancels.written_change());
  EXPECT_EQ(late, 1);
  int repeated = 0;
  m_cancels.WhenCommitted([&repeated] { ++repeated; });
  EXPECT_EQ(repeated, 1) << "nothing has changed since";
}

}  // namespace
}  // namespace jaymast
