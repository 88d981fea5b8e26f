#include "limits/allotment_row.h"

#include <algorithm>
#include <boost/json.hpp>

#include "model/codec.h"

namespace jaymast {

std::string EncodeAllotments(const std::map<EntryId, std::int64_t>& holders) {
  boost::json::object object;
  for (const auto& [entry, amount] : holders) {
    if (amount > 0) object[entry.value()] = amount;
  }
  return boost::json::serialize(object);
}

Result<std::map<EntryId, std::int64_t>> DecodeAllotments(const std::string& text) {
  std::map<EntryId, std::int64_t> holders;
  const Result<boost::json::object> object = ParseObject(text, "allot");
  if (!object) return object.error();
  for (const auto& [entry, amount] : *object) {
    const EntryId holder{std::string_view(entry)};
    if (amount.is_int64()) holders[holder] = std::clamp<std::int64_t>(amount.get_int64(), 0, kMaxAllotment);
    if (amount.is_uint64()) holders[holder] = kMaxAllotment;
    if (!amount.is_int64() && !amount.is_uint64()) {
      return Error{ErrorId::kInputField, "allot/" + holder.value(), "expected a whole number"};
    }
  }
  return holders;
}

}  // namespace jaymast
