#include "net/memory_budget.h"

#include <utility>

namespace jaymast {

bool MemoryBudget::Hold(const std::shared_ptr<Holder>& holder, std::size_t bytes, Phase phase) {
  std::vector<std::shared_ptr<Holder>> evicted;
  const bool fits = HoldLocked(holder, bytes, phase, evicted);
  // Without the lock, as the last reference to a connection may end here, and its destructor calls Release().
  for (const auto& other : evicted) other->Evict();
  return fits;
}

bool MemoryBudget::HoldLocked(const std::shared_ptr<Holder>& holder, std::size_t bytes, Phase phase,
                              std::vector<std::shared_ptr<Holder>>& evicted) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_claims.find(holder.get());
  const std::size_t held_before = found == m_claims.end() ? 0 : found->second.bytes;
  while (m_held_bytes - held_before + bytes > m_limit_bytes) {
    if (!EvictOne(holder.get(), evicted)) return false;
  }
  Claim& claim = m_claims[holder.get()];
  if (claim.order == 0) claim.order = ++m_claim_count;
  m_held_bytes += bytes;
  m_held_bytes -= claim.bytes;
  claim.holder = holder;
  claim.bytes = bytes;
  m_small_transfers.erase(claim.order);
  m_large_transfers.erase(claim.order);
  if (phase == Phase::kTransfer) {
    (bytes > kSmallBytes ? m_large_transfers : m_small_transfers).emplace(claim.order, holder.get());
  }
  return true;
}

void MemoryBudget::Release(const Holder* holder) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_claims.find(holder);
  if (found == m_claims.end()) return;
  m_held_bytes -= found->second.bytes;
  m_small_transfers.erase(found->second.order);
  m_large_transfers.erase(found->second.order);
  m_claims.erase(found);
}

std::size_t MemoryBudget::held_bytes() const {
  const std::lock_guard lock(m_mutex);
  return m_held_bytes;
}

std::uint64_t MemoryBudget::evicted() const {
  const std::lock_guard lock(m_mutex);
  return m_evicted;
}

bool MemoryBudget::EvictOne(const Holder* except, std::vector<std::shared_ptr<Holder>>& evicted) {
  for (auto* transfers : {&m_large_transfers, &m_small_transfers}) {
    for (auto it = transfers->begin(); it != transfers->end(); ++it) {
      if (it->second == except) continue;
      const auto found = m_claims.find(it->second);
      if (auto holder = found->second.holder.lock()) evicted.push_back(std::move(holder));
      m_held_bytes -= found->second.bytes;
      m_claims.erase(found);
      transfers->erase(it);
      ++m_evicted;
      return true;
    }
  }
  return false;
}

}  // namespace jaymast
