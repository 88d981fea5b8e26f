#include "cell/waiting_work.h"

#include <limits>

namespace jaymast {

void WaitingWork::Clear() {
  m_by_service.clear();
  m_at_limit.clear();
}

void WaitingWork::Add(const ServiceId& service, const TeamId& team, std::int64_t priority, WaitCause cause,
                      const WaitingAmount& amount) {
  m_by_service[service].at(static_cast<std::size_t>(cause))[priority] += amount;
  if (cause == WaitCause::kTeamLimit) m_at_limit[team][priority] += amount;
}

WaitingAmount WaitingWork::Sum(const ServiceId& service, std::int64_t priority, WaitCause cause) const {
  const auto found = m_by_service.find(service);
  if (found == m_by_service.end()) return {};
  return SumUpTo(found->second.at(static_cast<std::size_t>(cause)), priority);
}

double WaitingWork::TeamQueueSeconds(const TeamId& team, std::int64_t priority) const {
  const auto found = m_at_limit.find(team);
  return found == m_at_limit.end() ? 0 : SumUpTo(found->second, priority).limit_s;
}

WaitingAmount WaitingWork::Total(WaitCause cause) const {
  WaitingAmount total;
  for (const auto& [service, causes] : m_by_service) {
    total += SumUpTo(causes.at(static_cast<std::size_t>(cause)), std::numeric_limits<std::int64_t>::max());
  }
  return total;
}

void WaitingWork::AddGauges(std::map<std::string, double>& gauges) const {
  for (std::size_t i = 0; i < kCauses; ++i) {
    const auto cause = static_cast<WaitCause>(i);
    gauges["jaymast_waiting_core_seconds_" + std::string(ToString(cause))] = Total(cause).core_s;
  }
}

WaitingAmount WaitingWork::SumUpTo(const ByPriority& amounts, std::int64_t priority) {
  WaitingAmount sum;
  for (const auto& [amount_priority, amount] : amounts) {
    if (amount_priority > priority) break;
    sum += amount;
  }
  return sum;
}

}  // namespace jaymast
