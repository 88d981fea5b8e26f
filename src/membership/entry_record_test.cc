#include "membership/entry_record.h"

#include <gtest/gtest.h>

#include "testing/property_check.h"

namespace jaymast {
namespace {

// Guards against malformed rows that crash the decoder or decode to a value that encodes differently.
TEST(EntryRecordTest, MutatedRowsAreRejectedOrRoundTrip) {
  const std::string sample = Encode({DomainId("north"), "127.0.0.1:1", EntryState::kServing, 3, 4});
  CheckMutatedJson({sample}, DecodeEntryRecord, [](const EntryRecord& record) { return Encode(record); });
}

}  // namespace
}  // namespace jaymast
