#include "ownership/owner_record.h"

#include <gtest/gtest.h>

#include "testing/property_check.h"

namespace jaymast {
namespace {

// Guards against malformed rows that crash the decoder or decode to a value that encodes differently.
TEST(OwnerRecordTest, MutatedRowsAreRejectedOrRoundTrip) {
  const std::string sample = Encode({EntryId("e1"), 3, 2, EntryId("e2"), 1});
  CheckMutatedJson({sample}, DecodeOwnerRecord, [](const OwnerRecord& record) { return Encode(record); });
}

// Guards against an integer overflow when the next owner raises the epoch.
TEST(OwnerRecordTest, EpochsAtTheMaximumAreRejected) {
  EXPECT_EQ(DecodeOwnerRecord(R"({"epoch":9223372036854775807})").error().path, "owner/epoch");
}

}  // namespace
}  // namespace jaymast
