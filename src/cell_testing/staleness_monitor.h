#pragma once

#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell_testing/simulated_cluster.h"

namespace jaymast {

/// Changes the configuration, the list of upstreams and the failure domains of a cluster, and checks each answer and
/// each start that follows against the bounds of the platform.
class StalenessMonitor {
 public:
  static constexpr Duration kConfigBound{2'000'000};  ///< until a version is in force
  static constexpr Duration kDrainBound{2'000'000};   ///< until a draining upstream gets no more starts
  static constexpr Duration kDomainBound{5'000'000};  ///< the same for a failure domain that is out of service
  /// After an instance has answered by a version, it answers by no earlier one from then on.
  static constexpr Duration kDowngradeBound{250'000};

  explicit StalenessMonitor(SimulatedCluster& cluster) : m_cluster(cluster) {
    for (const auto& upstream : cluster.fake_upstreams) {
      upstream->on_begun = [this](const StartOrder& order, const UpstreamListing& target) {
        CheckStart(order, target);
      };
    }
    cluster.on_response = [this](const SimulatedCluster::ClientExchange& exchange) { CheckAnswer(exchange); };
  }

  void AddKey(const std::string& key) {
    ChangeConfig([&key](CellConfig& config) { config.team_of_key[key] = TeamId("team"); });
  }

  void RevokeKey(const std::string& key) {
    ChangeConfig([&key](CellConfig& config) { config.team_of_key.erase(key); });
    m_revoked_at[key] = m_cluster.queue.now();
  }

  void Drain(int upstream) {
    UpstreamListing& listing = m_cluster.fake_upstreams[static_cast<std::size_t>(upstream)]->listing();
    listing.is_draining = true;
    m_draining_since.emplace(listing.id, m_cluster.queue.now());
  }

  void TakeOutOfService(const DomainId& domain) {
    m_cluster.domains_out_of_service.insert(domain);
    m_out_since.emplace(domain, m_cluster.queue.now());
  }

  void ReturnToService(const DomainId& domain) {
    m_cluster.domains_out_of_service.erase(domain);
    m_out_since.erase(domain);
  }

  std::vector<std::string> violations;
  int answers = 0;  ///< that were not a refusal

 private:
  template <typename Change>
  void ChangeConfig(const Change& change) {
    auto config = std::make_shared<CellConfig>(*m_cluster.config);
    ++config->version;
    change(*config);
    m_cluster.config = std::move(config);
  }

  void CheckStart(const StartOrder& order, const UpstreamListing& target) {
    const Time now = m_cluster.queue.now();
    const auto draining = m_draining_since.find(target.id);
    if (draining != m_draining_since.end() && now - draining->second > kDrainBound) {
      Add("start on a draining upstream", FormatTaskKey(order.task), draining->second);
    }
    const auto out = m_out_since.find(target.domain);
    if (out != m_out_since.end() && now - out->second > kDomainBound) {
      Add("start in a failure domain out of service", FormatTaskKey(order.task), out->second);
    }
  }

  void CheckAnswer(const SimulatedCluster::ClientExchange& exchange) {
    static const std::set<int> kAnswers = {
        static_cast<int>(ClientOutcome::kAccepted), static_cast<int>(ClientOutcome::kState),
        static_cast<int>(ClientOutcome::kCancelled), static_cast<int>(ClientOutcome::kQueueLength),
        static_cast<int>(ClientOutcome::kNoSuchJob)};
    const int status = exchange.response.status;
    const bool is_answer = kAnswers.contains(status);
    answers += is_answer ? 1 : 0;
    const auto revoked = m_revoked_at.find(exchange.key);
    if (revoked == m_revoked_at.end()) return;
    const std::pair key_at_instance{exchange.instance, exchange.key};
    if (status == static_cast<int>(ClientOutcome::kUnknownKey)) {
      m_refused_key_at.emplace(key_at_instance, m_cluster.queue.now());
    }
    if (!is_answer) return;
    const std::string call = exchange.method + " " + exchange.job;
    if (exchange.sent_at - revoked->second > kConfigBound) Add("answer to a revoked key", call, revoked->second);
    const auto refused = m_refused_key_at.find(key_at_instance);
    if (refused != m_refused_key_at.end() && exchange.sent_at - refused->second > kDowngradeBound) {
      Add("answer by an earlier version than before", call, refused->second);
    }
  }

  void Add(const char* what, const std::string& where, Time since) {
    violations.push_back(fmt::format("{}: {} at {}, changed at {}", what, where,
                                     ToMillis(m_cluster.queue.now().time_since_epoch()),
                                     ToMillis(since.time_since_epoch())));
  }

  SimulatedCluster& m_cluster;
  std::map<std::string, Time> m_revoked_at;
  std::map<std::pair<int, std::string>, Time> m_refused_key_at;  ///< by instance and key
  std::map<UpstreamId, Time> m_draining_since;
  std::map<DomainId, Time> m_out_since;
};

}  // namespace jaymast
