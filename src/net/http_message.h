#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jaymast {

/// Header fields in the order in which they are received or sent.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field with the given case-insensitive name, or an empty string.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

/// An HTTP/1.1 request. Content-Length, Host and Connection are set by the client.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";  ///< path and query
  HttpHeaders headers;
  std::string body;
};

/// An HTTP/1.1 response. Content-Length and Connection are set by the server.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

}  // namespace jaymast
