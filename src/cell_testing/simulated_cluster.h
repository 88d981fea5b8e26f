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

#include "cell_testing/fake_processor.h"
#include "cell_testing/fake_site.h"
#include "cell_testing/fake_store.h"
#include "cell_testing/processor_settings.h"
#include "instance/cell_instance.h"

namespace jaymast {

/// Decodes and encodes the messages of fake clients. The body is the payload, with words such as tasks=4.
class FakeClientCodec : public ClientCodec {
 public:
  ClientCall Decode(const HttpRequest& request) const override {
    if (on_decode) on_decode();
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
    if (reply.retry_after_s > 0) response.headers.emplace_back("Retry-After", std::to_string(reply.retry_after_s));
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

  std::function<void()> on_decode;  ///< a call is about to be decided
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
    std::unique_ptr<FakeProcessor> processor;  ///< unset if work takes no time
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

  /// @param processor_settings of each instance; unset if work takes no time
  explicit SimulatedCluster(int instances, int upstreams, std::int64_t cpu_millis = 8000, CellOptions cell_options = {},
                            const std::optional<ProcessorSettings>& processor_settings = std::nullopt)
      : FakeSite(upstreams, cpu_millis), store(queue), options(std::move(cell_options)) {
    for (int i = 0; i < instances; ++i) {
      this->instances.push_back(std::make_unique<Instance>());
      Instance& instance = *this->instances.back();
      instance.address = "i" + std::to_string(i);
      instance.store = std::make_unique<FakeStoreClient>(queue, store);
      instance.upstreams = std::make_unique<FakeUpstreamClient>(*this, instance);
      instance.policy = std::make_unique<FakePolicyClient>(*this, instance);
      if (processor_settings) AddProcessor(instance, *processor_settings);
      StartInstance(instance);
    }
  }

  void Run(Duration time) { queue.RunUntil(queue.now() + time); }

  void Kill(int index) {
    Instance& instance = At(index);
    instance.is_up = false;
    ++instance.process_incarnation;
    if (instance.processor) instance.processor->Reset();
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
    if (instance.is_paused) return RunLaterOn(instance, kTick, {MessageKind::kClientCall, SizeOf(request), deliver});
    RunOn(instance, {MessageKind::kClientCall, SizeOf(request), deliver});
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
      const auto is_open = [is_done] { return !*is_done; };
      m_cluster.RunLaterOn(m_instance, limit, {MessageKind::kTimer, 0, [once] { once({}); }, is_open});
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
      m_cluster.RunLaterOn(m_instance, delay, {MessageKind::kUpstreamReply, 0, std::move(action)});
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
      const auto is_open = [is_done] { return !*is_done; };
      m_cluster.RunLaterOn(m_instance, std::chrono::milliseconds(policy_request.timeout_ms),
                           {MessageKind::kTimer, 0, [once, no_reply] { once(no_reply); }, is_open});
      m_cluster.policy_service.Call(m_instance.address, policy_request, [this, once](const PolicyReply& reply) {
        m_cluster.RunLaterOn(m_instance, kPeerLatency, {MessageKind::kPolicyReply, 0, [once, reply] { once(reply); }});
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
      if (m_instance.processor == nullptr) {
        m_next = now + kInterval;
        return Apply(now);
      }
      m_next = now + kReadTimeout;
      m_cluster.RunLaterOn(m_instance, kPeerLatency,
                           {MessageKind::kFeedRead, kListingBytes * m_cluster.fake_upstreams.size(),
                            [this, now] {
                              m_next = std::min(m_next, m_cluster.queue.now() + kInterval);
                              Apply(now);
                            },
                            [is_open = std::weak_ptr<Time>(m_sent_at), sent_at = now] {
                              const std::shared_ptr<Time> latest = is_open.lock();
                              return latest != nullptr && *latest == sent_at;
                            }});
      *m_sent_at = now;
    }

   private:
    static constexpr Duration kInterval{100'000};
    /// Without a reply for this time the feeds are read again, and the late reply is not read any further.
    static constexpr Duration kReadTimeout{900'000};
    static constexpr std::size_t kListingBytes = 200;

    bool IsStuck(FeedTopic topic) const { return m_instance.stuck_topics.contains(topic); }

    void Apply(Time now) {
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

    SimulatedCluster& m_cluster;
    Instance& m_instance;
    FeedListener& m_listener;
    Time m_next{};
    std::shared_ptr<Time> m_sent_at = std::make_shared<Time>();  ///< of the latest read
  };

  static std::size_t SizeOf(const HttpRequest& request) {
    std::size_t bytes = request.target.size() + request.body.size();
    for (const auto& [name, value] : request.headers) bytes += name.size() + value.size();
    return bytes;
  }

  void AddProcessor(Instance& instance, const ProcessorSettings& settings) {
    instance.processor = std::make_unique<FakeProcessor>(queue, settings);
    instance.codec.on_decode = [processor = instance.processor.get()] {
      processor->Charge(processor->settings().decision_cost);
    };
    instance.processor->on_work = [this, &instance](MessageKind kind, Time began_at) {
      instance.cell->load().AddWork(WorkKindOf(kind), began_at, queue.now());
    };
    instance.store->run_reply = [this, &instance](std::function<void()> action) {
      RunOn(instance, {MessageKind::kStoreReply, 0, std::move(action)});
    };
  }

  static WorkKind WorkKindOf(MessageKind kind) {
    switch (kind) {
      case MessageKind::kClientCall:
        return WorkKind::kClientCalls;
      case MessageKind::kRelayedCall:
      case MessageKind::kPeerMessage:
        return WorkKind::kPeerMessages;
      case MessageKind::kPeerReply:
        return WorkKind::kPeerReplies;
      default:
        return WorkKind::kTicks;
    }
  }

  void RunLaterOn(Instance& instance, Duration delay, FakeProcessor::Message message) {
    queue.After(delay, [this, &instance, process_incarnation = instance.process_incarnation,
                        message = std::move(message)]() mutable {
      if (instance.process_incarnation != process_incarnation) return;
      RunOn(instance, std::move(message));
    });
  }

  /// Handles a message that has arrived, when the processor gets to it.
  void RunOn(Instance& instance, FakeProcessor::Message message) {
    // A paused process handles received messages when it resumes.
    if (instance.is_paused) return RunLaterOn(instance, kTick, std::move(message));
    if (instance.processor == nullptr) return message.handle();
    message.handle = [this, &instance, message] {
      if (instance.is_paused) return RunLaterOn(instance, kTick, message);
      instance.cell->SetNow(queue.now());
      message.handle();
    };
    instance.processor->Post(std::move(message));
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
    if (instance.processor && !instance.is_paused) {
      return RunOn(instance, {MessageKind::kTick, 0, [this, &instance, process_incarnation, due_at = queue.now()] {
                                instance.cell->load().OnTick(due_at, queue.now());
                                RunTick(instance, process_incarnation);
                              }});
    }
    RunTick(instance, process_incarnation);
  }

  void RunTick(Instance& instance, std::uint64_t process_incarnation) {
    if (!instance.is_paused) instance.cell->OnTick(queue.now(), ToMillis(queue.now().time_since_epoch()));
    queue.After(kTick, [this, &instance, process_incarnation] { Tick(instance, process_incarnation); });
  }

  void SendPeer(Instance& from, const std::string& address, HttpRequest request, Time deadline,
                const std::function<void(PeerResult)>& done) {
    ++peer_messages[from.address];
    if (from.processor) from.processor->Charge(from.processor->settings().send_cost);
    auto is_done = std::make_shared<bool>(false);
    const auto once = [done, is_done](const PeerResult& result) {
      if (std::exchange(*is_done, true)) return;
      done(result);
    };
    const auto is_open = [is_done] { return !*is_done; };
    RunLaterOn(from, std::max(Duration(1), deadline - queue.now()),
               {MessageKind::kTimer, 0, [once] { once({}); }, is_open});
    Instance* target = nullptr;
    for (const auto& instance : instances) {
      if (instance->address == address) target = instance.get();
    }
    if (target == nullptr || from.unreachable.contains(address) || target->unreachable.contains(from.address)) return;
    if (!target->is_up) {
      PeerResult refused;
      refused.was_sent = false;
      return RunLaterOn(from, kPeerLatency, {MessageKind::kPeerReply, 0, [once, refused] { once(refused); }});
    }
    const bool is_call = !FindHeader(request.headers, "Jaymast-Call-Id").empty();
    const MessageKind kind = is_call ? MessageKind::kRelayedCall : MessageKind::kPeerMessage;
    const std::size_t bytes = SizeOf(request);
    const auto handle = [this, &from, target, request = std::move(request), once, is_open] {
      target->cell->SetNow(queue.now());
      target->cell->OnPeerRequest(request, [this, &from, once, is_open](const HttpResponse& response) {
        const auto handle_reply = [once, response] { once({true, true, response}); };
        RunLaterOn(from, kPeerLatency, {MessageKind::kPeerReply, response.body.size(), handle_reply, is_open});
      });
    };
    RunLaterOn(*target, kPeerLatency, {kind, bytes, handle});
  }

  std::vector<std::unique_ptr<CellInstance>> m_stopped_cells;  ///< pending callbacks refer to them
};

}  // namespace jaymast
