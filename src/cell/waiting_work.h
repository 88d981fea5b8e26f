#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/id.h"
#include "jobs/cell_config.h"

namespace jaymast {

/// What the waiting tasks of a step wait for.
enum class WaitCause {
  kCores,       ///< the upstreams that may run them are full
  kPlacement,   ///< nothing that is known: they fit into free capacity, but placement has not examined them yet
  kTicket,      ///< a ticket of the policy service for upstreams with free capacity
  kTeamLimit,   ///< the limit of their own organisation
  kGang,        ///< capacity for all members of a gang at once
  kDependency,  ///< earlier steps of their job
  kLate,        ///< work whose job is past its objective, as timely jobs are placed before it
  kNoFit,       ///< no usable upstream will hold them
};

template <>
struct EnumNames<WaitCause> {
  static constexpr std::array<std::string_view, 8> kNames = {"cores", "placement",  "ticket", "team_limit",
                                                             "gang",  "dependency", "late",   "no_fit"};
};

/// Amount of waiting work.
struct WaitingAmount {
  double cores = 0;    ///< demand of the tasks
  double core_s = 0;   ///< expected work of the tasks in core-seconds
  double call_ms = 0;  ///< duration of the policy calls that the steps wait for
  double limit_s = 0;  ///< time for which the tasks would take the whole limit of their organisation, 0 without a limit

  WaitingAmount& operator+=(const WaitingAmount& other) {
    cores += other.cores;
    core_s += other.core_s;
    call_ms += other.call_ms;
    limit_s += other.limit_s;
    return *this;
  }
};

/// Sums of the waiting work of a cell by service, cause and priority.
///
/// Load: a hundred submissions a second while hundreds of jobs wait. Each needs the work that is scheduled before it,
/// so the sums are built by the placement pass, which visits every waiting step, and a submission only reads them and
/// adds its own work. Work that has started since the last pass is still contained, for at most the interval of passes.
class WaitingWork {
 public:
  /// Discards all sums, at the start of a placement pass.
  void Clear();

  void Add(const ServiceId& service, const TeamId& team, std::int64_t priority, WaitCause cause,
           const WaitingAmount& amount);

  /// Work of this cause and this priority or a higher one.
  WaitingAmount Sum(const ServiceId& service, std::int64_t priority, WaitCause cause) const;
  /// Time that the organisation needs for its work that waits for its limit, with this priority or a higher one.
  double TeamQueueSeconds(const TeamId& team, std::int64_t priority) const;
  /// Work of this cause of all services and priorities.
  WaitingAmount Total(WaitCause cause) const;
  /// Adds the total work of each cause under its metric name.
  void AddGauges(std::map<std::string, double>& gauges) const;

 private:
  static constexpr std::size_t kCauses = EnumNames<WaitCause>::kNames.size();
  using ByPriority = std::map<std::int64_t, WaitingAmount>;

  static WaitingAmount SumUpTo(const ByPriority& amounts, std::int64_t priority);

  std::map<ServiceId, std::array<ByPriority, kCauses>> m_by_service;
  std::map<TeamId, ByPriority> m_at_limit;  ///< work of the organisations that are at their limit
};

}  // namespace jaymast
