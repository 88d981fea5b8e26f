#pragma once

#include <string>

namespace jaymast {

/// Method, target and body of an HTTP request, independent of the HTTP library.
struct HttpCall {
  std::string method;
  std::string target;  ///< path with percent-encoded segments
  std::string body;

  friend bool operator==(const HttpCall&, const HttpCall&) = default;
};

}  // namespace jaymast
