#include "membership/entry_record.h"

#include <gtest/gtest.h>

#include "testing/property_check.h"

namespace jaymast {
namespace {

// Guards against a row that crashes its reader, or is read as a value which cannot be written back.
TEST(EntryRecordTest, MutatedRowsAreRefusedOrStable) {
  const std::string sample = Encode({DomainId("north"), "127.0.0.1:1", EntryState::kServing, 3, 4});
  CheckMutatedJson({sample}, DecodeEntryRecord, [](const EntryRecord& record) { return Encode(record); });
}

}  // namespace
}  // namespace jaymast
