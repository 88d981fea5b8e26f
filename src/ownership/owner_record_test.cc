#include "ownership/owner_record.h"

#include <gtest/gtest.h>

#include "testing/property_check.h"

namespace jaymast {
namespace {

// Guards against a row that crashes its reader, or is read as a value which cannot be written back.
TEST(OwnerRecordTest, MutatedRowsAreRefusedOrStable) {
  const std::string sample = Encode({EntryId("e1"), 3, 2, EntryId("e2"), 1});
  CheckMutatedJson({sample}, DecodeOwnerRecord, [](const OwnerRecord& record) { return Encode(record); });
}

// Guards against an epoch that overflows when the next owner raises it.
TEST(OwnerRecordTest, EpochsThatCannotBeRaisedAreRefused) {
  EXPECT_EQ(DecodeOwnerRecord(R"({"epoch":9223372036854775807})").error().path, "owner/epoch");
}

}  // namespace
}  // namespace jaymast
