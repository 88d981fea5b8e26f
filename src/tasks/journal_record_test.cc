#include "tasks/journal_record.h"

#include <gtest/gtest.h>

#include "testing/property_check.h"

namespace jaymast {
namespace {

std::vector<JournalRecord> Sample() {
  JournalRecord accepted;
  accepted.id = {TaskId("t"), 0};
  accepted.spec.id = TaskId("t");
  JournalRecord claimed = accepted;
  claimed.kind = JournalRecordKind::kClaimed;
  claimed.owner = EntryId("e1");
  claimed.upstream = UpstreamId("u1");
  claimed.epoch = 3;
  JournalRecord released = accepted;
  released.kind = JournalRecordKind::kReleased;
  released.checkpoint = "half";
  JournalRecord ended = accepted;
  ended.kind = JournalRecordKind::kEnded;
  ended.end.output = "out";
  return {accepted, claimed, released, ended};
}

// Guards against a row that crashes its reader, or is read as a value which cannot be written back.
TEST(JournalRecordTest, MutatedRowsAreRefusedOrStable) {
  CheckMutatedJson({EncodeRecords(Sample()), EncodeRecords({})}, DecodeRecords, EncodeRecords);
}

// Guards against a task without team and demand, which would start outside of every limit.
TEST(JournalRecordTest, AcceptedRecordsNeedTheirSpecification) {
  const auto records = DecodeRecords(R"({"records":[{"kind":"accepted","task":"t"}]})");
  ASSERT_FALSE(records);
  EXPECT_EQ(records.error().path, "journal/spec");
}

}  // namespace
}  // namespace jaymast
