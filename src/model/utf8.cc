#include "model/utf8.h"

#include <boost/json.hpp>

namespace jaymast {

bool IsUtf8(std::string_view text) {
  // The serializer copies bytes unchanged, and the parser rejects those that are not UTF-8.
  boost::system::error_code ec;
  boost::json::parse(boost::json::serialize(boost::json::string(text)), ec);
  return !ec;
}

}  // namespace jaymast
