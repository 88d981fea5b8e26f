#pragma once

#include <gtest/gtest.h>

#include <string>

#include "cell_testing/simulated_cluster.h"

namespace jaymast {

/// Response statuses of FakeClientCodec, which are values of ClientOutcome instead of HTTP statuses.
inline constexpr int kAccepted = static_cast<int>(ClientOutcome::kAccepted);
inline constexpr int kState = static_cast<int>(ClientOutcome::kState);
inline constexpr int kCancelled = static_cast<int>(ClientOutcome::kCancelled);
inline constexpr int kUnknownKey = static_cast<int>(ClientOutcome::kUnknownKey);
inline constexpr int kMalformed = static_cast<int>(ClientOutcome::kMalformed);
inline constexpr int kNoSuchJob = static_cast<int>(ClientOutcome::kNoSuchJob);

/// State of a job as reported by an instance.
inline std::string GetJobState(SimulatedCluster& cluster, int index, const std::string& job) {
  cluster.Call(index, "GET", job);
  cluster.Run(std::chrono::milliseconds(300));
  return cluster.LastBody("GET " + job);
}

inline void ExpectNoViolation(const SimulatedCluster& cluster) {
  for (const std::string& violation : cluster.history.violations) ADD_FAILURE() << violation;
}

/// Index of an instance that does not lead.
inline int AnyFollower(const SimulatedCluster& cluster) { return cluster.Leader() == 0 ? 1 : 0; }

}  // namespace jaymast
