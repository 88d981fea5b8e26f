#include "membership/entry_record.h"

#include <boost/json.hpp>

#include "base/field_reader.h"
#include "model/codec.h"

namespace jaymast {
namespace {

constexpr std::size_t kMaxTextBytes = 256;

}  // namespace

std::string EntryKey(const EntryId& id) { return std::string(kEntryPrefix) + id.value(); }

std::string HomeKey(const EntryId& id) { return "home/" + id.value(); }

std::string AdoptKey(const EntryId& id) { return std::string(kAdoptPrefix) + id.value(); }

std::string Encode(const EntryRecord& record) {
  const boost::json::object object = {{"domain", record.domain.value()},
                                      {"peer_address", record.peer_address},
                                      {"state", ToString(record.state)},
                                      {"config_version", record.config_version},
                                      {"renewals", record.renewals}};
  return boost::json::serialize(object);
}

Result<EntryRecord> DecodeEntryRecord(const std::string& text) {
  const Result<boost::json::object> object = ParseObject(text, "entry");
  if (!object) return object.error();
  FieldReader reader(*object, "entry");
  EntryRecord record;
  record.domain = DomainId(reader.String("domain", "", kMaxTextBytes));
  record.peer_address = reader.String("peer_address", "", kMaxTextBytes);
  record.state = reader.Enum("state", EntryState::kJoining);
  record.config_version = reader.Int("config_version", 0, 0, INT64_MAX);
  record.renewals = reader.Int("renewals", 0, 0, INT64_MAX);
  if (reader.error()) return *reader.error();
  return record;
}

}  // namespace jaymast
