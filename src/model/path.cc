#include "model/path.h"

#include <boost/url/encode.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include "model/utf8.h"

namespace jaymast {

std::string EncodeSegment(std::string_view text) {
  return boost::urls::encode(boost::urls::string_view(text.data(), text.size()), boost::urls::unreserved_chars);
}

Result<std::vector<std::string>> SplitPath(std::string_view target) {
  std::string_view rest = target.substr(0, target.find('?'));
  const Error error{ErrorId::kRouteUnknown, std::string(target), "expected an absolute path of percent-encoded UTF-8"};
  if (!rest.starts_with('/')) return error;
  std::vector<std::string> segments;
  while (!rest.empty()) {
    rest.remove_prefix(1);
    const std::string_view segment = rest.substr(0, rest.find('/'));
    const auto encoded = boost::urls::make_pct_string_view(boost::urls::string_view(segment.data(), segment.size()));
    if (!encoded) return error;
    segments.push_back(encoded->decode());
    // Segments are copied into JSON bodies, which must be UTF-8.
    if (!IsUtf8(segments.back())) return error;
    rest.remove_prefix(segment.size());
  }
  return segments;
}

}  // namespace jaymast
