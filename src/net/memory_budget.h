#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace jaymast {

/// Bounds the bytes that all connections of a server or client hold together. All functions may be called on any
/// thread.
///
/// When a connection would exceed the limit, others are evicted in the order in which they began to hold memory:
/// first those that hold more than a small message, so that small requests of ordinary callers continue.
class MemoryBudget {
 public:
  /// A connection that holds memory.
  class Holder {
   public:
    virtual ~Holder() = default;

    /// Gives up what the connection holds. May be called on any thread.
    virtual void Evict() = 0;
  };

  /// What the connection waits for.
  enum class Phase {
    kTransfer,  ///< for its remote side to send or receive; may be evicted
    kHandling,  ///< for the response to a complete request; is not evicted, as the request may already have run
  };

  /// @param limit_bytes limit on the sum of all connections
  explicit MemoryBudget(std::size_t limit_bytes) : m_limit_bytes(limit_bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// Sets what a connection holds, and evicts others if the limit requires it.
  /// @return false if the limit is exceeded even so; the connection then holds what it held before
  bool Hold(const std::shared_ptr<Holder>& holder, std::size_t bytes, Phase phase);

  /// Ends the claim of a connection. Does nothing if it has none or was evicted.
  void Release(const Holder* holder);

  std::size_t held_bytes() const;

  /// Number of evicted connections since the start.
  std::uint64_t evicted() const;

 private:
  /// A connection that holds no more than this is evicted only if all others that may be evicted do not either.
  static constexpr std::size_t kSmallBytes = 64U << 10U;

  struct Claim {
    std::weak_ptr<Holder> holder;
    std::size_t bytes = 0;
    std::uint64_t order = 0;  ///< number of the claim since the start
  };
  using Claims = std::map<const Holder*, Claim>;

  bool HoldLocked(const std::shared_ptr<Holder>& holder, std::size_t bytes, Phase phase,
                  std::vector<std::shared_ptr<Holder>>& evicted);
  /// Removes the claim that is to be given up first, other than `except`, and adds its holder to `evicted`.
  /// @return false if there is none
  bool EvictOne(const Holder* except, std::vector<std::shared_ptr<Holder>>& evicted);

  const std::size_t m_limit_bytes;
  mutable std::mutex m_mutex;  ///< guards the members below
  Claims m_claims;
  std::map<std::uint64_t, const Holder*> m_small_transfers;  ///< by order of the claim
  std::map<std::uint64_t, const Holder*> m_large_transfers;
  std::size_t m_held_bytes = 0;
  std::uint64_t m_claim_count = 0;
  std::uint64_t m_evicted = 0;
};

}  // namespace jaymast
