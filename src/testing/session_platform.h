#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "core/table.h"
#include "model/instance_list.h"
#include "standin/table_store.h"
#include "testing/session_world.h"

namespace jaymast {

/// Table service and instance list of a session, with their faults.
class SessionPlatform {
 public:
  explicit SessionPlatform(SessionWorld& world) : m_world(world) {}

  /// Calls the table service for an entry. `done` runs exactly once.
  void Commit(const std::string& entry, const Transaction& transaction, std::function<void(const CommitReply&)> done);
  void Read(const std::string& entry, const ReadRequest& request, std::function<void(const ReadReply&)> done);
  void Lookup(const std::string& entry, const TransactionId& id, std::function<void(const LookupReply&)> done);

  void SetDown(bool down) { m_down = down; }
  void SetDelay(Duration delay) { m_delay = delay; }

  /// Loses the answers of the next commits after they took effect.
  void LoseAnswers(std::int64_t count) { m_lose_answers = count; }

  /// The list that entries see lags by this much.
  void SetLag(Duration lag) { m_lag = lag; }
  void SetUpstream(const UpstreamInfo& info);
  InstanceList VisibleInstances() const;

  const std::map<std::string, Row>& rows() const { return m_store.rows(); }

 private:
  /// Carries one call. `act` runs at the service; `failed` makes the reply when no answer arrives in time.
  template <typename Reply>
  void Call(const std::string& entry, const std::function<Reply()>& act, const std::function<Reply(bool sent)>& failed,
            const std::function<bool()>& loses_answer, std::function<void(const Reply&)> done);

  void RecordConfig();

  SessionWorld& m_world;
  TableStore m_store;
  bool m_down = false;
  Duration m_delay{};
  std::int64_t m_lose_answers = 0;
  Duration m_lag = std::chrono::milliseconds(500);
  std::deque<std::pair<Time, InstanceList>> m_lists;  ///< each list with the time at which it became true
};

}  // namespace jaymast
