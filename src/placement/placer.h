#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/id.h"
#include "base/resources.h"
#include "base/result.h"
#include "base/time.h"
#include "model/task_spec.h"
#include "model/upstream_info.h"

namespace jaymast {

/// Chooses an upstream for a task among the upstreams that this entry owns, and keeps their free capacity.
class Placer {
 public:
  explicit Placer(std::uint64_t seed);

  /// Selects the policy of each class of work by name. A class without a name gets its default policy.
  void SetPolicies(const std::map<WorkClass, std::string>& policies);

  /// Adds an upstream, or updates its capacity. Reservations on a known upstream are kept.
  void PutUpstream(const UpstreamInfo& info);
  void RemoveUpstream(const UpstreamId& id);

  /// An upstream that is not eligible gets no new task; its reservations stay.
  void SetEligible(const UpstreamId& id, bool eligible);

  /// Chooses an upstream without reserving it.
  /// @return the upstream, or an error that names the binding constraint: kNoCapacity when it may fit later
  Result<UpstreamId> Choose(const TaskSpec& spec, Time now);

  void Reserve(const UpstreamId& id, const TaskSpec& spec, Time now);
  void Release(const UpstreamId& id, const TaskSpec& spec, Time now);

  /// Sum of the free capacity of all eligible upstreams.
  Resources Free() const;

  /// Free capacity of the eligible upstream with the most free processors.
  Resources LargestFree() const;

  Resources Capacity() const;
  Resources Used(const UpstreamId& id) const;

 private:
  struct Worker {
    UpstreamInfo info;
    Resources used;
    bool eligible = false;
  };

  std::map<UpstreamId, Worker> m_workers;
};

}  // namespace jaymast
