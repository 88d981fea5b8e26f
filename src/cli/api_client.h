#pragma once

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "base/result.h"

namespace jaymast {

/// One request to an entry.
struct ApiCall {
  std::string method;
  std::string target;
  std::string body;  ///< JSON, empty for no body
  std::vector<std::pair<std::string, std::string>> headers;
  std::chrono::milliseconds timeout = std::chrono::seconds(30);
};

struct ApiReply {
  int status = 0;  ///< HTTP status
  std::string body;
};

/// Connection of the command line to an entry. Tests replace it with scripted answers.
class ApiClient {
 public:
  virtual ~ApiClient() = default;

  /// Sends one request and waits for the whole answer.
  /// @return the answer with any status; kNotServing when certainly no byte was sent; kOutcomeUnknown when the
  /// connection failed later
  virtual Result<ApiReply> Send(const ApiCall& call) = 0;

  /// Sends one request to each configured entry, for views in which each entry knows a part.
  virtual std::vector<Result<ApiReply>> SendToAll(const ApiCall& call) { return {Send(call)}; }
};

}  // namespace jaymast
