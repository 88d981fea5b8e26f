#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "cell/state_store.h"
#include "cell_testing/event_queue.h"

namespace jaymast {

/// Rows of the simulated platform store, shared by all instances of a test.
class FakeStore {
 public:
  explicit FakeStore(EventQueue& queue) : m_queue(queue) {}

  StateCommitReply Apply(const StateTransaction& transaction) {
    const std::pair guard{transaction.guard_table, transaction.guard_key};
    const auto found = m_rows.find(guard);
    const std::int64_t version = found == m_rows.end() ? 0 : found->second.version;
    StateCommitReply reply;
    reply.now_ms = ToMillis(m_queue.now().time_since_epoch());
    if (ExceedsLimits(transaction)) {
      ++rejected_transactions;
      return reply;
    }
    if (version != transaction.guard_version) {
      reply.status = StateStatus::kConflict;
      if (found != m_rows.end()) reply.guard = found->second;
      return reply;
    }
    ++m_version;
    ++transactions;
    writes += static_cast<int>(transaction.writes.size()) - 1;
    for (const StateWrite& write : transaction.writes) {
      if (write.value) {
        m_rows[{write.table, write.key}] = {write.table, write.key, *write.value, m_version};
      } else {
        m_rows.erase({write.table, write.key});
      }
    }
    reply.status = StateStatus::kDone;
    reply.version = m_version;
    return reply;
  }

  StateScanReply Read(const std::string& table, const std::string& from, const std::string& to,
                      std::size_t max_rows) const {
    StateScanReply reply;
    reply.is_available = true;
    reply.version = m_version;
    reply.now_ms = ToMillis(m_queue.now().time_since_epoch());
    for (auto it = m_rows.lower_bound({table, from}); it != m_rows.end() && it->first.first == table; ++it) {
      if (!to.empty() && it->first.second >= to) break;
      if (reply.rows.size() == std::min(kPageRows, max_rows)) {
        reply.has_more = true;
        break;
      }
      reply.rows.push_back(it->second);
    }
    return reply;
  }

  /// Most rows of a page; small, so that tests read several pages.
  static constexpr std::size_t kPageRows = 20;
  /// Limits of the platform's store. A transaction beyond them is rejected.
  static constexpr std::size_t kMaxRowBytes = 65'536;
  static constexpr std::size_t kMaxTransactionRows = 100;
  static constexpr std::size_t kMaxTransactionBytes = 1'000'000;

  int transactions = 0;
  int writes = 0;  ///< rows written or deleted, except the leader row
  int rejected_transactions = 0;

 private:
  static bool ExceedsLimits(const StateTransaction& transaction) {
    if (transaction.writes.size() > kMaxTransactionRows) return true;
    std::size_t encoded_bytes = 0;
    for (const StateWrite& write : transaction.writes) {
      if (!write.value) continue;
      if (write.value->size() > kMaxRowBytes) return true;
      encoded_bytes += (write.value->size() + 2) / 3 * 4;  // base64
    }
    return encoded_bytes > kMaxTransactionBytes;
  }

  EventQueue& m_queue;
  std::int64_t m_version = 0;
  std::map<std::pair<std::string, std::string>, StateRow> m_rows;
};

/// Fault of the store as seen by one instance.
enum class StoreFault { kNone, kNoReply, kRefusing, kReplyLost, kAppliedLate, kSlow };

/// Accesses the store for one instance, with latency and faults.
class FakeStoreClient : public StateStore {
 public:
  FakeStoreClient(EventQueue& queue, FakeStore& store) : m_queue(queue), m_store(store) {}

  const StoreContact& contact() override { return m_contact; }
  /// Reads of the feeds are calls as well.
  void OnFeedRead() {
    m_contact.OnCallSent(m_queue.now());
    const bool is_answered = fault == StoreFault::kNone || fault == StoreFault::kSlow;
    if (is_answered) m_contact.OnReceived(m_queue.now());
    m_contact.OnCallEnded(is_answered);
  }

  void Commit(const StateTransaction& transaction, std::function<void(StateCommitReply)> callback) override {
    m_contact.OnCallSent(m_queue.now());
    const auto handle = [this, callback = std::move(callback)](const StateCommitReply& reply) {
      const bool is_answered = reply.status != StateStatus::kUnknown;
      if (is_answered) m_contact.OnReceived(m_queue.now());
      m_contact.OnCallEnded(is_answered);
      callback(reply);
    };
    const auto done = [this, handle](const StateCommitReply& reply) {
      if (!run_reply) return handle(reply);
      run_reply([handle, reply] { handle(reply); });
    };
    switch (fault) {
      case StoreFault::kNoReply:
        return m_queue.After(kTimeout, [done] { done({}); });
      case StoreFault::kRefusing: {
        StateCommitReply refused;
        refused.status = StateStatus::kRefused;
        return m_queue.After(kLatency, [done, refused] { done(refused); });
      }
      case StoreFault::kReplyLost:
        m_queue.After(kLatency, [this, transaction] { m_store.Apply(transaction); });
        return m_queue.After(kTimeout, [done] { done({}); });
      case StoreFault::kAppliedLate:
        m_queue.After(kLateDelay, [this, transaction] { m_store.Apply(transaction); });
        return m_queue.After(kTimeout, [done] { done({}); });
      case StoreFault::kSlow:
      case StoreFault::kNone:
        break;
    }
    const Duration latency = fault == StoreFault::kSlow ? kSlowLatency : kLatency;
    m_queue.After(latency, [this, transaction, done] { done(m_store.Apply(transaction)); });
  }

  void Scan(const std::string& table, const std::string& from, const std::string& to, const PageLimits& limits,
            std::function<void(StateScanReply)> callback) override {
    m_contact.OnCallSent(m_queue.now());
    const auto handle = [this, callback = std::move(callback)](const StateScanReply& reply) {
      if (reply.is_available) m_contact.OnReceived(m_queue.now());
      m_contact.OnCallEnded(reply.is_available);
      callback(reply);
    };
    const auto done = [this, handle](const StateScanReply& reply) {
      if (!run_reply) return handle(reply);
      run_reply([handle, reply] { handle(reply); });
    };
    if (fault == StoreFault::kNoReply || fault == StoreFault::kRefusing) {
      return m_queue.After(fault == StoreFault::kNoReply ? limits.timeout : kLatency, [done] { done({}); });
    }
    m_queue.After(kLatency, [this, table, from, to, limits, done] {
      const StateScanReply reply = m_store.Read(table, from, to, limits.max_rows);
      const Duration transfer = TransferTime(reply);
      if (kLatency + transfer > limits.timeout) return m_queue.After(limits.timeout - kLatency, [done] { done({}); });
      m_queue.After(transfer, [done, reply] { done(reply); });
    });
  }

  StoreFault fault = StoreFault::kNone;
  /// Handles a reply when the processor of the instance gets to it; empty if work takes no time.
  std::function<void(std::function<void()>)> run_reply;
  std::int64_t scan_bytes_per_second = 0;  ///< what the link leaves for replies to scans; 0 does not limit them

 private:
  Duration TransferTime(const StateScanReply& reply) const {
    if (scan_bytes_per_second == 0) return Duration::zero();
    std::int64_t bytes = 0;
    for (const StateRow& row : reply.rows) bytes += static_cast<std::int64_t>(row.value.size());
    return Duration(bytes * 1'000'000 / scan_bytes_per_second);
  }

  static constexpr Duration kLatency{5'000};
  static constexpr Duration kSlowLatency{400'000};
  static constexpr Duration kTimeout{900'000};
  static constexpr Duration kLateDelay{2'500'000};

  EventQueue& m_queue;
  FakeStore& m_store;
  StoreContact m_contact;
};

}  // namespace jaymast
