#include "cell/record_log.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cell/leader_record.h"

namespace jaymast {
namespace {

using Rows = std::map<std::string, std::string>;

/// State of a job as a successor reads it.
struct FoundJob {
  RecordKind kind = RecordKind::kTombstone;
  std::string text;
  std::string progress;
  std::map<std::size_t, std::string> occurrences;

  friend bool operator==(const FoundJob&, const FoundJob&) = default;
};

std::size_t Apply(RecordLog& log, Rows& rows) {
  const std::vector<StateWrite> writes = log.TakeWrites();
  for (const StateWrite& write : writes) {
    if (write.value) {
      rows[write.key] = *write.value;
    } else {
      EXPECT_EQ(rows.erase(write.key), 1U) << write.key;
    }
  }
  return writes.size();
}

/// Reads the rows in the same way as a successor.
std::map<std::string, FoundJob> ReadAll(const Rows& rows, RecordLog* log = nullptr) {
  std::map<std::pair<std::string, RecordName>, RecordText> texts;
  std::map<std::string, FoundJob> found;
  for (const auto& [key, text] : rows) {
    EXPECT_LE(text.size(), 65'536U);
    const auto records = DecodeLogRow(text);
    EXPECT_TRUE(records.has_value());
    if (log != nullptr) log->AddLoadedRow({kRecordTable, key, text, 0}, *records);
    for (const LogRecord& record : *records) {
      FoundJob& job = found[record.job.value()];
      RecordText& assembled = texts[{record.job.value(), record.name}];
      assembled.Add(record.piece, record.text);
      if (record.name.kind == RecordKind::kProgress) {
        job.progress = assembled.text;
      } else if (record.name.kind == RecordKind::kOccurrence) {
        job.occurrences[record.name.occurrence] = assembled.text;
      } else {
        job.kind = record.name.kind;
        job.text = assembled.text;
      }
    }
  }
  std::erase_if(found, [](const auto& entry) { return entry.second.kind == RecordKind::kTombstone; });
  for (auto& [job, state] : found) {
    if (state.kind != RecordKind::kFinal) continue;
    state.progress.clear();
    state.occurrences.clear();
  }
  return found;
}

/// Random jobs that are added, make progress, end and are dropped, with the state that a successor must find.
class Workload {
 public:
  explicit Workload(unsigned seed) : m_random(seed) {}

  void Step(RecordLog& log) {
    const std::size_t action = RandomBelow(10);
    if (action < 3 || open.empty()) return Open(log);
    const std::string job = open[RandomBelow(open.size())];
    if (action < 7) {
      // Some records are longer than a row.
      expected[job].progress = Text(RandomBelow(40) == 0 ? 70'000 : 40);
      log.Put(JobId(job), {RecordKind::kProgress}, expected[job].progress);
      return;
    }
    if (action < 8) return ChangeOccurrence(log, job);
    expected[job] = {RecordKind::kFinal, Text(20), "", {}};
    log.Put(JobId(job), {RecordKind::kFinal}, expected[job].text);
    std::erase(open, job);
    ended.push_back(job);
    if (ended.size() > kRetainedJobs) {
      log.Forget(JobId(ended.front()));
      // A successor may still show a job that the leader has dropped, but only as ended.
      forgotten[ended.front()] = expected[ended.front()];
      expected.erase(ended.front());
      ended.erase(ended.begin());
    }
  }

  void Compact(RecordLog& log) const {
    for (const RecordLog::RecordRef& item : log.RecordsToCompact()) {
      const auto found = expected.find(item.job.value());
      const bool is_gone = found == expected.end();
      if (is_gone) {
        log.Put(item.job, {RecordKind::kTombstone}, "");
      } else if (item.name.kind == RecordKind::kOccurrence) {
        log.Put(item.job, item.name, found->second.occurrences.at(item.name.occurrence));
      } else {
        const bool is_progress = item.name.kind == RecordKind::kProgress;
        log.Put(item.job, item.name, is_progress ? found->second.progress : found->second.text);
      }
    }
  }

  /// Drops the occurrences that a successor finds although they have ended, as the scheduler does after loading.
  void RetainOccurrences(RecordLog& log) const {
    for (const auto& [job, state] : expected) {
      std::map<std::size_t, Occurrence> open_occurrences;
      for (const auto& [number, text] : state.occurrences) open_occurrences[number];
      log.RetainOccurrences(JobId(job), open_occurrences);
    }
  }

  void Check(const std::map<std::string, FoundJob>& found) const {
    for (const auto& [job, state] : expected) {
      const auto entry = found.find(job);
      ASSERT_NE(entry, found.end()) << job;
      FoundJob successor = entry->second;
      const auto& open_occurrences = state.occurrences;
      // The progress record, which this workload does not fill in, tells which occurrences are open.
      std::erase_if(successor.occurrences,
                    [&open_occurrences](const auto& item) { return !open_occurrences.contains(item.first); });
      EXPECT_EQ(successor, state) << job;
    }
    for (const auto& [job, state] : found) {
      if (expected.contains(job)) continue;
      const auto entry = forgotten.find(job);
      ASSERT_NE(entry, forgotten.end()) << job;
      EXPECT_EQ(state, entry->second) << job;
    }
  }

  std::size_t RandomBelow(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
  }

  std::map<std::string, FoundJob> expected;
  std::map<std::string, FoundJob> forgotten;
  std::vector<std::string> open;
  std::vector<std::string> ended;

 private:
  static constexpr std::size_t kRetainedJobs = 300;

  void ChangeOccurrence(RecordLog& log, const std::string& job) {
    const std::size_t number = RandomBelow(4);
    if (RandomBelow(3) == 0) {
      expected[job].occurrences.erase(number);
      log.DropOccurrence(JobId(job), number);
      return;
    }
    expected[job].occurrences[number] = Text(RandomBelow(20) == 0 ? 40'000 : 100);
    log.Put(JobId(job), {RecordKind::kOccurrence, number}, expected[job].occurrences[number]);
  }
  void Open(RecordLog& log) {
    const std::string job = "job" + std::to_string(++m_jobs);
    open.push_back(job);
    expected[job] = {RecordKind::kJob, Text(200), "", {}};
    log.Put(JobId(job), {RecordKind::kJob}, expected[job].text);
  }
  std::string Text(std::size_t bytes) { return std::string(bytes, static_cast<char>('a' + RandomBelow(26))); }

  std::mt19937 m_random;
  int m_jobs = 0;
};

// Guards against a successor that finds a job in an older state, not at all, or active after its end.
TEST(RecordLogTest, SuccessorFindsNewestStateAfterAnyTransaction) {
  for (unsigned seed = 1; seed <= 6; ++seed) {
    Workload load(seed);
    Rows rows;
    auto log = std::make_unique<RecordLog>();
    for (int transaction = 0; transaction < 1'500; ++transaction) {
      for (std::size_t i = load.RandomBelow(6); i > 0; --i) load.Step(*log);
      load.Compact(*log);
      EXPECT_LE(Apply(*log, rows), 99U);
      const bool is_takeover = load.RandomBelow(400) == 0;
      if (is_takeover) log = std::make_unique<RecordLog>();
      if (is_takeover || transaction % 50 == 0) load.Check(ReadAll(rows, is_takeover ? log.get() : nullptr));
      if (is_takeover) load.RetainOccurrences(*log);
    }
    load.Check(ReadAll(rows));
    // At most one page more than the live records need.
    EXPECT_LE(rows.size(), 500U) << "seed " << seed;
  }
}

// Guards against an ended job that a successor finds active, because the row with its final record was removed before
// an older one.
TEST(RecordLogTest, FinalRecordOutlivesOlderRecords) {
  RecordLog log;
  Rows rows;
  log.Put(JobId("lasting"), {RecordKind::kJob}, "specification");
  log.Put(JobId("short"), {RecordKind::kJob}, "specification");
  Apply(log, rows);
  log.Put(JobId("short"), {RecordKind::kFinal}, "final");
  Apply(log, rows);
  log.Forget(JobId("short"));
  for (int i = 0; i < 3; ++i) Apply(log, rows);
  EXPECT_EQ(ReadAll(rows)["short"].kind, RecordKind::kFinal);
  log.Put(JobId("lasting"), {RecordKind::kFinal}, "final");
  for (int i = 0; i < 3; ++i) Apply(log, rows);
  EXPECT_FALSE(ReadAll(rows).contains("short"));
}

// Guards against rows that are never removed from the store.
TEST(RecordLogTest, RemovesAllRowsOfDroppedJobs) {
  RecordLog log;
  Rows rows;
  for (int i = 0; i < 500; ++i) {
    const JobId job("job" + std::to_string(i));
    log.Put(job, {RecordKind::kJob}, "specification");
    Apply(log, rows);
    log.Put(job, {RecordKind::kProgress}, "progress");
    Apply(log, rows);
    log.Put(job, {RecordKind::kFinal}, "final");
    Apply(log, rows);
  }
  for (int i = 0; i < 500; ++i) log.Forget(JobId("job" + std::to_string(i)));
  for (int i = 0; i < 100; ++i) Apply(log, rows);
  EXPECT_TRUE(rows.empty()) << rows.size();
}

// Guards against a record that is longer than a row, and against a mixture of two such records when the row with the
// first piece of the older one has been removed.
TEST(RecordLogTest, LongRecordIsSplitIntoPieces) {
  RecordLog log;
  Rows rows;
  const std::string older(100'000, 'a');
  const std::string newer(80'000, 'b');
  log.Put(JobId("job1"), {RecordKind::kProgress}, older);
  log.Put(JobId("job2"), {RecordKind::kJob}, "specification");
  Apply(log, rows);
  EXPECT_EQ(ReadAll(rows)["job1"].progress, "") << "a job without a specification";
  log.Put(JobId("job1"), {RecordKind::kJob}, "specification");
  log.Put(JobId("job1"), {RecordKind::kProgress}, newer);
  Apply(log, rows);
  EXPECT_EQ(ReadAll(rows)["job1"].progress, newer);
  Apply(log, rows);
  EXPECT_EQ(ReadAll(rows)["job1"].progress, newer);
}

// Guards against rows above the size limit of the store.
TEST(RecordLogTest, SplitsBurstIntoRows) {
  RecordLog log;
  Rows rows;
  for (int i = 0; i < 100; ++i) log.Put(JobId("job" + std::to_string(i)), {RecordKind::kJob}, std::string(5'000, 'x'));
  Apply(log, rows);
  EXPECT_EQ(ReadAll(rows).size(), 100U);
  for (const auto& [key, text] : rows) EXPECT_LE(text.size(), 65'536U);
}

// Guards against a crash on a row of another writer.
RC_GTEST_PROP(RecordLogTest, ArbitraryRowsAreDecodedOrRejected, (const std::vector<std::string>& lines)) {
  std::string row;
  for (const std::string& line : lines) row += "job1 " + line + "\n";
  const auto records = DecodeLogRow(row);
  RecordText text;
  for (const LogRecord& record : records.value_or(std::vector<LogRecord>{})) text.Add(record.piece, record.text);
  RecordLog log;
  if (records) log.AddLoadedRow({kRecordTable, row.substr(0, 12), row, 0}, *records);
  DecodeLeaderRecord(row);
}

// Guards against a process exit caused by a row of another version.
TEST(RecordLogTest, ReportsMalformedRows) {
  EXPECT_FALSE(DecodeLogRow("job1 job text").has_value()) << "no line break";
  EXPECT_FALSE(DecodeLogRow("job1\n").has_value());
  EXPECT_FALSE(DecodeLogRow("job1 unknown text\n").has_value());
  EXPECT_FALSE(DecodeLogRow("job1 occurrence:x text\n").has_value());
  EXPECT_FALSE(DecodeLogRow("job1 job+ text\n").has_value());
  EXPECT_FALSE(DecodeLogRow("job1 job+99999999999999999999 text\n").has_value());
  EXPECT_TRUE(DecodeLogRow("").has_value());
}

}  // namespace
}  // namespace jaymast
