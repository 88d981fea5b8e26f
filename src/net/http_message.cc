#include "net/http_message.h"

#include <boost/beast/core/string.hpp>

namespace jaymast {

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [field, value] : headers) {
    if (boost::beast::iequals(field, name)) return value;
  }
  return {};
}

}  // namespace jaymast
