#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jaymast {

/// What jaymast-load sends, where and for how long.
struct LoadOptions {
  std::vector<std::string> entries;    ///< IP numbers and ports
  std::vector<std::string> baselines;  ///< IP numbers and ports of runners that no entry uses
  std::string key;                     ///< secret of the submitter
  std::string team;
  double preview_rate = 0;     ///< previews a second; the baseline gets the same rate
  double submission_rate = 0;  ///< durable submissions a second
  std::chrono::milliseconds duration{10'000};
  std::chrono::milliseconds timeout{2'000};      ///< of each request
  std::chrono::milliseconds submission_wait{0};  ///< wait of a submission for its outcome, 0 for its acceptance
  std::chrono::milliseconds run_time{0};         ///< run time of each task
  std::size_t connections = 8;                   ///< to each address
  std::int64_t padding_bytes = 64;               ///< size of the padding in each body
  std::uint64_t seed = 1;
};

}  // namespace jaymast
