#include "ownership/owner_record.h"

#include <boost/json.hpp>

#include "base/bounds.h"
#include "base/field_reader.h"
#include "model/codec.h"

namespace jaymast {
namespace {

constexpr std::size_t kMaxTextBytes = 256;

}  // namespace

std::string OwnerPrefix(const DomainId& domain) { return std::string(kOwnerPrefix) + domain.value() + "/"; }

std::string OwnerKey(const DomainId& domain, const UpstreamId& upstream) {
  return OwnerPrefix(domain) + upstream.value();
}

std::string Encode(const OwnerRecord& record) {
  const boost::json::object object = {{"owner", record.owner.value()},
                                      {"epoch", record.epoch},
                                      {"fenced_epoch", record.fenced_epoch},
                                      {"covered_by", record.covered_by.value()},
                                      {"reset_epoch", record.reset_epoch}};
  return boost::json::serialize(object);
}

Result<OwnerRecord> DecodeOwnerRecord(const std::string& text) {
  const Result<boost::json::object> object = ParseObject(text, "owner");
  if (!object) return object.error();
  FieldReader reader(*object, "owner");
  OwnerRecord record;
  record.owner = EntryId(reader.String("owner", "", kMaxTextBytes));
  record.epoch = reader.Int("epoch", 0, 0, kMaxCounter);
  record.fenced_epoch = reader.Int("fenced_epoch", 0, 0, kMaxCounter);
  record.covered_by = EntryId(reader.String("covered_by", "", kMaxTextBytes));
  record.reset_epoch = reader.Int("reset_epoch", 0, 0, kMaxCounter);
  if (reader.error()) return *reader.error();
  return record;
}

}  // namespace jaymast
