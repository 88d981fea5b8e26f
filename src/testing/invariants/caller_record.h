#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "core/request.h"

namespace jaymast {

/// A request for work as its caller knows it.
struct CallerRecord {
  RequestId request = 0;  ///< unique over all processes of the log
  std::string process;    ///< entry that the request was sent to
  KeyId key;              ///< key that accompanied the request
  TeamId team;            ///< team that the request names
  Time sent;
  bool asks_for_work = false;       ///< false for a query, a cancellation or a request of an operator
  std::vector<std::string> bodies;  ///< input of each task; requests for different work differ in all of them
  std::vector<std::string> marks;   ///< for each task, a text that only its own output contains
  std::optional<Response> response;
  bool closed = false;  ///< the connection closed before the response
};

}  // namespace jaymast
