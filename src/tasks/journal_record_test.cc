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

// Guards against malformed rows that crash the decoder or decode to a value that does not round-trip.
TEST(JournalRecordTest, MutatedRowsAreRejectedOrRoundTrip) {
  CheckMutatedJson({EncodeRecords(Sample()), EncodeRecords({})}, DecodeRecords, EncodeRecords);
}

// Guards against decoding a task without team and demand, to which no limit would apply.
TEST(JournalRecordTest, AcceptedRecordRequiresSpec) {
  const auto records = DecodeRecords(R"({"records":[{"kind":"accepted","task":"t"}]})");
  ASSERT_FALSE(records);
  EXPECT_EQ(records.error().path, "journal/spec");
}

}  // namespace
}  // namespace jaymast
