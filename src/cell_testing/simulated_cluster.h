#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell_testing/fake_site.h"
#include "cell_testing/fake_store.h"
#include "instance/cell_instance.h"

namespace jaymast {

/// Decodes and encodes the messages of fake clients. The body is the payload, with words such as tasks=4.
class FakeClientCodec : public ClientCodec {
 public:
  ClientCall Decode(const HttpRequest& request) const override {
    ClientCall call;
    call.path = request.target;
    const std::string_view key = FindHeader(request.headers, "Key");
    if (!key.empty()) call.key = std::string(key);
    if (request.method == "POST") {
      call.action = ClientAction::kSubmit;
      call.spec = ParseJobSpec(request.body);
    } else if (request.method == "DELETE") {
      call.action = ClientAction::kCancel;
    } else if (request.target.ends_with('/')) {
      call.action = ClientAction::kReadQueue;
    }
    return call;
  }
  HttpResponse Encode(const ClientCall& /*call*/, const ClientReply& reply) const override {
    HttpResponse response;
    response.status = static_cast<int>(reply.outcome);
    const bool is_count = reply.outcome == ClientOutcome::kQueueLength;
    response.body = is_count ? std::to_string(reply.waiting_jobs) : std::string(ToString(reply.state));
    return response;
  }
  std::int64_t ClientTimeoutMs(const HttpRequest& request) const override {
    const std::string text(FindHeader(request.headers, "Patience"));
    return text.empty() ? 0 : std::stoll(text);
  }
  HttpResponse EncodeFailure(bool may_have_run) const override {
    return {may_have_run ? kMayHaveRun : kNotRun, {}, ""};
  }

  static constexpr int kMayHaveRun = 504;
  static constexpr int kNotRun = 503;
};

/// Counts events by reason, and prints them with simulated time if JAYMAST_TEST_EVENTS is set, to trace a failed fault
/// schedule.
class TraceEvents : public CellEventSink {
 public:
  explicit TraceEvents(const EventQueue& queue) : m_queue(queue) {}
  void Emit(std::string_view event, EventFields fields) override {
    for (const auto& [name, value] : fields) {
      if (name == "reason") ++m_counts[{std::string(event), value}];
    }
    if (!m_is_enabled) return;
    std::cout << ToMillis(m_queue.now().time_since_epoch()) << " " << event;
    for (const auto& [name, value] : fields) std::cout << " " << name << "=" << value;
    std::cout << "\n";
  }

  int Count(const std::string& event, const std::string& reason) const {
    const auto found = m_counts.find({event, reason});
    return found == m_counts.end() ? 0 : found->second;
  }

 private:
  const EventQueue& m_queue;
  std::map<std::pair<std::string, std::string>, int> m_counts;
  const bool m_is_enabled = std::getenv("JAYMAST_TEST_EVENTS") != nullptr;
};

/// Runs several instances with a fake store, fake upstreams and a fake policy service on one simulated clock.
class SimulatedCluster : public FakeSite {
 public:
  static constexpr Duration kTick{10'000};
  static constexpr Duration kPeerLatency{1'000};
  static constexpr Duration kOrderTimeout{250'000};

  struct Instance {
    std::string address;
    LeaderFitness fitness{.cpu_millis = 250};
    std::unique_ptr<FakeStoreClient> store;
    std::unique_ptr<CellInstance> cell;
    std::unique_ptr<UpstreamClient> upstreams;
    std::unique_ptr<PolicyClient> policy;
    FakeClientCodec codec;
    bool is_up = true;
    bool is_paused = false;
    std::set<std::string> unreachable;        ///< addresses of unreachable peers and upstreams
    std::set<FeedTopic> stuck_topics;         ///< whose reads get no reply, although the store is available
    std::shared_ptr<CellConfig> late_config;  ///< that reads of the feeds still return, if set
    Duration feed_timeout{};                  ///< after which a read of the feeds without a reply is given up
    std::uint64_t process_incarnation = 0;
  };

  /// A client call and its response.
  struct ClientExchange {
    int instance = 0;
    std::string method;
    std::string job;
    std::string key;
    Time sent_at{};
    HttpResponse response;
  };

  explicit SimulatedCluster(int instances, int upstreams, std::int64_t cpu_millis = 8000, CellOptions cell_options = {})
      : FakeSite(upstreams, cpu_millis), store(queue), options(std::move(cell_options)) {
    for (int i = 0; i < instances; ++i) {
      this->instances.push_back(std::make_unique<Instance>());
      Instance& instance = *this->instances.back();
      instance.address = "i" + std::to_string(i);
      instance.store = std::make_unique<FakeStoreClient>(queue, store);
      instance.upstreams = std::make_unique<FakeUpstreamClient>(*this, instance);
      instance.policy = std::make_unique<FakePolicyClient>(*this, instance);
      StartInstance(instance);
    }
  }

  void Run(Duration time) { queue.RunUntil(queue.now() + time); }

  void Kill(int index) {
    Instance& instance = At(index);
    instance.is_up = false;
    ++instance.process_incarnation;
    m_stopped_cells.push_back(std::move(instance.cell));
  }

  void Restart(int index) { StartInstance(At(index)); }

  /// Restarts the instance with these resources.
  void SetFitness(int index, LeaderFitness fitness) {
    Kill(index);
    At(index).fitness = fitness;
    Restart(index);
  }

  /// Index of the leader that has loaded its jobs, or -1 if there is none.
  int Leader() const {
    for (std::size_t i = 0; i < instances.size(); ++i) {
      const Instance& instance = *instances[i];
      const bool leads = instance.is_up && instance.cell->is_leader() && instance.cell->term()->is_loaded();
      if (leads) return static_cast<int>(i);
    }
    return -1;
  }

  /// Sends a client call to an instance. The response is added to `responses`.
  /// @param job of the queue "q", or QUEUE/JOB
  void Call(int index, const std::string& method, const std::string& job, const std::string& body = "",
            const std::string& key = "key", std::int64_t client_timeout_ms = 0) {
    HttpRequest request;
    request.method = method;
    request.target = (job.find('/') == std::string::npos ? "/q/" : "/") + job;
    request.body = body;
    request.headers = {{"Key", key}, {"Patience", std::to_string(client_timeout_ms)}};
    Instance& instance = At(index);
    if (!instance.is_up) return;
    const std::string id = job.substr(job.find('/') + 1);
    if (method == "POST") AddSubmission(id, request.target, body, key);
    if (method == "DELETE") submissions[id].is_cancelled = true;
    const Time sent_at = queue.now();
    const auto on_done = [this, index, method, job, id, key, sent_at](const HttpResponse& response) {
      if (on_response) on_response({index, method, job, key, sent_at, response});
      responses[method + " " + job].push_back(response);
      const bool is_accepted = method == "POST" && response.status == static_cast<int>(ClientOutcome::kAccepted);
      if (is_accepted) submissions[id].is_accepted = true;
    };
    const auto deliver = [this, &instance, request, on_done] {
      instance.cell->SetNow(queue.now());
      instance.cell->OnClientRequest(request, on_done);
    };
    // A paused process reads the call when it resumes, possibly before its next tick.
    if (instance.is_paused) return RunLaterOn(instance, kTick, deliver);
    deliver();
  }

  /// Status of the last response to a call, given as "METHOD JOB", or -1 if there is none.
  int LastStatus(const std::string& call) const {
    const auto found = responses.find(call);
    return found == responses.end() ? -1 : found->second.back().status;
  }
  std::string LastBody(const std::string& call) const {
    const auto found = responses.find(call);
    return found == responses.end() ? "" : found->second.back().body;
  }

  Instance& At(int index) { return *instances[static_cast<std::size_t>(index)]; }

  FakeStore store;
  const CellOptions options;
  TraceEvents events{queue};
  std::vector<std::unique_ptr<Instance>> instances;
  std::map<std::string, std::vector<HttpResponse>> responses;
  std::function<bool(const StartOrder&)> drops_start;        ///< the order is lost
  std::function<bool(const StartOrder&)> drops_start_reply;  ///< the order is executed, but the reply is lost
  std::function<Duration(const StartOrder&)> start_delay;    ///< the order arrives late and gets no reply
  std::function<OrderStatus(const StartOrder&)> start_status;
  std::function<void(const ClientExchange&)> on_response;
  int syncs = 0;
  int max_open_immediate_syncs = 0;          ///< of one instance at a time, without those that wait for an end
  std::map<std::string, int> peer_messages;  ///< by the address of the sender

 private:
  class FakeUpstreamClient : public UpstreamClient {
   public:
    FakeUpstreamClient(SimulatedCluster& cluster, Instance& instance) : m_cluster(cluster), m_instance(instance) {}

    void Start(const StartOrder& order, std::function<void(OrderReply)> done) override {
      FakeUpstream* upstream = FindReachable(order.target);
      const bool is_lost = upstream == nullptr || (m_cluster.drops_start && m_cluster.drops_start(order));
      const auto late = m_cluster.start_delay ? m_cluster.start_delay(order) : Duration::zero();
      if (late > Duration::zero() && upstream != nullptr) {
        // Orders queued in an upstream are lost with its process.
        m_cluster.queue.After(late, [this, upstream, order, process_incarnation = upstream->listing().incarnation] {
          if (upstream->listing().incarnation != process_incarnation) return;
          upstream->Start(order, m_cluster.MakeWork(order.payload));
        });
      }
      if (is_lost || late > Duration::zero()) return RunLater(kOrderTimeout, [done] { done({}); });
      if (m_cluster.start_status) {
        const OrderStatus status = m_cluster.start_status(order);
        if (status != OrderStatus::kAccepted) return RunLater(kPeerLatency, [done, status] { done({status, 0}); });
      }
      m_cluster.queue.After(kPeerLatency, [this, upstream, order, done] {
        const OrderReply reply = upstream->Start(order, m_cluster.MakeWork(order.payload));
        const bool drops_reply = m_cluster.drops_start_reply && m_cluster.drops_start_reply(order);
        RunLater(drops_reply ? kOrderTimeout : kPeerLatency,
                 [done, reply, drops_reply] { done(drops_reply ? OrderReply{} : reply); });
      });
    }

    void Stop(const StopOrder& order, std::function<void(OrderReply)> done) override {
      FakeUpstream* upstream = FindReachable(order.target);
      if (upstream == nullptr) return RunLater(kOrderTimeout, [done] { done({}); });
      m_cluster.queue.After(kPeerLatency, [this, upstream, order, done] {
        const OrderReply reply = upstream->Stop(order);
        RunLater(kPeerLatency, [done, reply] { done(reply); });
      });
    }

    void Sync(const SyncOrder& order, std::function<void(SyncReply)> done) override {
      FakeUpstream* upstream = FindReachable(order.target);
      const Duration limit = kOrderTimeout + std::chrono::milliseconds(order.wait_ms);
      ++m_cluster.syncs;
      if (order.wait_ms == 0) {
        m_cluster.max_open_immediate_syncs = std::max(m_cluster.max_open_immediate_syncs, ++m_open_immediate_syncs);
      }
      auto is_done = std::make_shared<bool>(false);
      const auto once = [this, done, is_done, is_immediate = order.wait_ms == 0](const SyncReply& reply) {
        if (std::exchange(*is_done, true)) return;
        if (is_immediate) --m_open_immediate_syncs;
        done(reply);
      };
      RunLater(limit, [once] { once({}); });
      if (upstream == nullptr) return;
      m_cluster.queue.After(kPeerLatency, [this, upstream, order, once] {
        upstream->Sync(order, [this, upstream, once](const SyncReply& reply) {
          if (!upstream->is_reachable) return;
          RunLater(kPeerLatency, [once, reply] { once(reply); });
        });
      });
    }

   private:
    FakeUpstream* FindReachable(const UpstreamTarget& target) {
      FakeUpstream* upstream = m_cluster.FindUpstream(target.address);
      const bool is_partitioned = m_instance.unreachable.contains(target.address);
      if (upstream == nullptr || !upstream->is_reachable || is_partitioned) return nullptr;
      return upstream;
    }

    /// Calls back unless the process has ended.
    void RunLater(Duration delay, std::function<void()> action) {
      m_cluster.RunLaterOn(m_instance, delay, std::move(action));
    }

    SimulatedCluster& m_cluster;
    Instance& m_instance;
    int m_open_immediate_syncs = 0;
  };

  /// Connection of one instance to the policy service, which gives up late calls like the one of the platform.
  class FakePolicyClient : public PolicyClient {
   public:
    FakePolicyClient(SimulatedCluster& cluster, Instance& instance) : m_cluster(cluster), m_instance(instance) {}
    void RequestTickets(const std::string& /*caller*/, const PolicyRequest& policy_request,
                        std::function<void(PolicyReply)> done) override {
      auto is_done = std::make_shared<bool>(false);
      const auto once = [done, is_done](const PolicyReply& reply) {
        if (std::exchange(*is_done, true)) return;
        done(reply);
      };
      PolicyReply no_reply;
      no_reply.may_be_pending = true;
      m_cluster.RunLaterOn(m_instance, std::chrono::milliseconds(policy_request.timeout_ms),
                           [once, no_reply] { once(no_reply); });
      m_cluster.policy_service.Call(m_instance.address, policy_request, [this, once](const PolicyReply& reply) {
        m_cluster.RunLaterOn(m_instance, kPeerLatency, [once, reply] { once(reply); });
      });
    }

   private:
    SimulatedCluster& m_cluster;
    Instance& m_instance;
  };

  class FakeFeeds : public CellFeeds {
   public:
    FakeFeeds(SimulatedCluster& cluster, Instance& instance, FeedListener& listener)
        : m_cluster(cluster), m_instance(instance), m_listener(listener) {}
    void OnTick(Time now) override {
      const StoreFault fault = m_instance.store->fault;
      if (now < m_next) return;
      if (fault == StoreFault::kNoReply) m_next = now + m_instance.feed_timeout;
      if (fault != StoreFault::kNone && fault != StoreFault::kSlow) return;
      m_next = now + std::chrono::milliseconds(100);
      m_instance.store->OnFeedRead();
      if (!IsStuck(FeedTopic::kConfiguration)) {
        const bool is_late = m_instance.late_config != nullptr;
        m_listener.OnConfig(std::make_shared<const CellConfig>(is_late ? *m_instance.late_config : *m_cluster.config));
        m_listener.OnTopicCurrent(FeedTopic::kConfiguration, now);
      }
      if (!IsStuck(FeedTopic::kDomains)) {
        m_listener.OnDomainsOutOfService(m_cluster.domains_out_of_service);
        m_listener.OnTopicCurrent(FeedTopic::kDomains, now);
      }
      if (IsStuck(FeedTopic::kUpstreams)) return;
      std::set<UpstreamId> listed;
      for (const auto& upstream : m_cluster.fake_upstreams) {
        if (!upstream->is_reachable) continue;
        m_listener.OnUpstreamListed(upstream->listing());
        listed.insert(upstream->listing().id);
      }
      m_listener.OnUpstreamListComplete(listed);
      m_listener.OnTopicCurrent(FeedTopic::kUpstreams, now);
    }

   private:
    bool IsStuck(FeedTopic topic) const { return m_instance.stuck_topics.contains(topic); }

    SimulatedCluster& m_cluster;
    Instance& m_instance;
    FeedListener& m_listener;
    Time m_next{};
  };

  void RunLaterOn(Instance& instance, Duration delay, std::function<void()> action) {
    queue.After(delay, [this, &instance, process_incarnation = instance.process_incarnation,
                        action = std::move(action)]() mutable {
      if (instance.process_incarnation != process_incarnation) return;
      // A paused process handles received messages when it resumes.
      if (instance.is_paused) return RunLaterOn(instance, kTick, std::move(action));
      action();
    });
  }

  void StartInstance(Instance& instance) {
    instance.is_up = true;
    ++instance.process_incarnation;
    CellInstance::Ports ports{*instance.store,
                              *instance.upstreams,
                              *instance.policy,
                              events,
                              instance.codec,
                              [this, &instance](const std::string& address, HttpRequest request, Time deadline,
                                                const std::function<void(PeerResult)>& done) {
                                SendPeer(instance, address, std::move(request), deadline, done);
                              },
                              [this, &instance](FeedListener& listener) -> std::unique_ptr<CellFeeds> {
                                return std::make_unique<FakeFeeds>(*this, instance, listener);
                              },
                              [] {},
                              options,
                              FeedBounds{}};
    const std::uint64_t rank = static_cast<std::uint64_t>(instance.address.back() - '0');
    instance.cell =
        std::make_unique<CellInstance>(std::move(ports), instance.address, instance.fitness, rank, queue.now());
    Tick(instance, instance.process_incarnation);
  }

  void Tick(Instance& instance, std::uint64_t process_incarnation) {
    if (instance.process_incarnation != process_incarnation) return;
    if (!instance.is_paused) instance.cell->OnTick(queue.now(), ToMillis(queue.now().time_since_epoch()));
    queue.After(kTick, [this, &instance, process_incarnation] { Tick(instance, process_incarnation); });
  }

  void SendPeer(Instance& from, const std::string& address, HttpRequest request, Time deadline,
                const std::function<void(PeerResult)>& done) {
    ++peer_messages[from.address];
    auto is_done = std::make_shared<bool>(false);
    const auto once = [done, is_done](const PeerResult& result) {
      if (std::exchange(*is_done, true)) return;
      done(result);
    };
    RunLaterOn(from, std::max(Duration(1), deadline - queue.now()), [once] { once({}); });
    Instance* target = nullptr;
    for (const auto& instance : instances) {
      if (instance->address == address) target = instance.get();
    }
    if (target == nullptr || from.unreachable.contains(address) || target->unreachable.contains(from.address)) return;
    if (!target->is_up) {
      PeerResult refused;
      refused.was_sent = false;
      return RunLaterOn(from, kPeerLatency, [once, refused] { once(refused); });
    }
    RunLaterOn(*target, kPeerLatency, [this, &from, target, request = std::move(request), once] {
      target->cell->SetNow(queue.now());
      target->cell->OnPeerRequest(request, [this, &from, once](const HttpResponse& response) {
        RunLaterOn(from, kPeerLatency, [once, response] { once({true, true, response}); });
      });
    });
  }

  std::vector<std::unique_ptr<CellInstance>> m_stopped_cells;  ///< pending callbacks refer to them
};

}  // namespace jaymast
