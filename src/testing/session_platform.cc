#include "testing/session_platform.h"

#include <algorithm>
#include <boost/json.hpp>

#include "model/codec.h"

namespace jaymast {
namespace {

constexpr Duration kLatency = std::chrono::milliseconds(1);
constexpr Duration kCallTimeout = std::chrono::seconds(1);
constexpr const char* kConfigRow = "config";

}  // namespace

template <typename Reply>
void SessionPlatform::Call(const std::string& entry, const std::function<Reply()>& act,
                           const std::function<Reply(bool)>& failed, const std::function<bool()>& loses_answer,
                           std::function<void(const Reply&)> done) {
  auto answered = std::make_shared<bool>(false);
  const auto answer = [answered, done = std::move(done)](const Reply& reply) {
    if (!std::exchange(*answered, true)) done(reply);
  };
  m_world.clock.After(kCallTimeout, [answer, failed] { answer(failed(true)); });
  if (m_down) {
    m_world.clock.After(kLatency, [answer, failed] { answer(failed(false)); });
    return;
  }
  m_world.clock.After(kLatency + m_delay, [this, entry, act, loses_answer, answer] {
    if (m_down || !m_world.network.IsReachable(entry, kPlatform)) return;
    const Reply reply = act();
    if (loses_answer()) return;
    m_world.clock.After(kLatency, [this, entry, answer, reply] {
      if (m_world.network.IsReachable(entry, kPlatform)) answer(reply);
    });
  });
}

void SessionPlatform::Commit(const std::string& entry, const Transaction& transaction,
                             std::function<void(const CommitReply&)> done) {
  const auto act = [this, transaction] {
    const CommitReply reply = m_store.Commit(transaction);
    RecordConfig();
    return reply;
  };
  const auto failed = [](bool sent) { return CommitReply{sent ? CommitStatus::kUnknown : CommitStatus::kNotSent, 0}; };
  const auto loses_answer = [this] { return m_lose_answers > 0 && m_lose_answers-- > 0; };
  Call<CommitReply>(entry, act, failed, loses_answer, std::move(done));
}

void SessionPlatform::Read(const std::string& entry, const ReadRequest& request,
                           std::function<void(const ReadReply&)> done) {
  Call<ReadReply>(
      entry, [this, request] { return m_store.Read(request); }, [](bool) { return ReadReply{}; }, [] { return false; },
      std::move(done));
}

void SessionPlatform::Lookup(const std::string& entry, const TransactionId& id,
                             std::function<void(const LookupReply&)> done) {
  Call<LookupReply>(
      entry, [this, id] { return m_store.Lookup(id); }, [](bool) { return LookupReply{}; }, [] { return false; },
      std::move(done));
}

void SessionPlatform::SetUpstream(const UpstreamInfo& info) {
  InstanceList list = m_lists.empty() ? InstanceList{} : m_lists.back().second;
  const auto same = [&info](const UpstreamInfo& other) { return other.id == info.id; };
  const auto found = std::find_if(list.upstreams.begin(), list.upstreams.end(), same);
  if (found == list.upstreams.end()) {
    list.upstreams.push_back(info);
  } else {
    *found = info;
  }
  m_lists.emplace_back(m_world.clock.Now(), std::move(list));
}

InstanceList SessionPlatform::VisibleInstances() const {
  InstanceList visible;
  for (const auto& [since, list] : m_lists) {
    // The first instances were there before the session began.
    if (since == Time() || since + m_lag <= m_world.clock.Now()) visible = list;
  }
  return visible;
}

void SessionPlatform::RecordConfig() {
  const auto row = m_store.rows().find(kConfigRow);
  if (row == m_store.rows().end()) return;
  const Result<boost::json::object> object = ParseObject(row->second.value, kConfigRow);
  if (!object) return;
  const Result<ClusterConfig> config = ClusterConfigFromJson(*object, kConfigRow);
  if (config) m_world.facts.configs.try_emplace(config->version, *config);
}

}  // namespace jaymast
