#pragma once

#include <time.h>

#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include "core/effects.h"
#include "core/entry_core.h"
#include "model/codec.h"
#include "model/runner_codec.h"
#include "model/table_codec.h"
#include "net/peer_codec.h"
#include "standin/table_store.h"
#include "testing/session_runner.h"
#include "testing/session_world.h"

namespace jaymast {

/// What one entry sent, received and spent since the counters were reset.
struct CapacityCounters {
  double table_reads = 0;
  double rows_read = 0;
  double bytes_read = 0;  ///< requests and replies as JSON, without HTTP headers
  double table_writes = 0;
  double conflicts = 0;  ///< writes that a condition refused
  double rows_written = 0;
  double bytes_written = 0;
  double peer_messages = 0;
  double peer_bytes = 0;      ///< whole frames
  double probe_messages = 0;  ///< the part of the messages that are probes of running tasks and their answers
  double probe_bytes = 0;
  double upstream_calls = 0;
  double upstream_bytes = 0;                     ///< requests and replies as JSON, without HTTP headers
  std::map<std::string, double> reads_by_kind;   ///< by the part of the first key before the slash
  std::map<std::string, double> writes_by_kind;  ///< transactions, by the same part of the first written key
  double list_bytes = 0;                         ///< polled instance lists as JSON
  double core_ns = 0;                            ///< processor time inside the decision core
  double codec_ns = 0;  ///< processor time of encoding requests and decoding replies outside the core
};

class CapacityEntry;

/// What the entries of a measured fleet share.
struct CapacitySurroundings {
  SessionWorld world;
  TableStore table;
  InstanceList instances;
  std::map<std::string, std::unique_ptr<CapacityEntry>> entries;  ///< by peer address
  std::map<UpstreamId, std::unique_ptr<SessionRunner>> runners;
  std::function<void(RequestId, const Response&)> on_reply;
};

/// One decision core with fakes around it, which counts its traffic and its processor time.
class CapacityEntry final : public Effects {
 public:
  using Step = std::function<void(EntryCore&)>;

  CapacityEntry(CapacitySurroundings& surroundings, EntrySettings settings, std::uint64_t seed)
      : m_surroundings(surroundings), m_world(surroundings.world), m_settings(std::move(settings)), m_random(seed) {}

  void Start() {
    ++m_generation;
    m_next_tick = Time::max();
    m_core = std::make_unique<EntryCore>(m_settings, *this);
    Run([](EntryCore& core) { core.Start(); });
    PollInstances();
  }

  void Kill() {
    m_core.reset();
    ++m_generation;
    m_peers.clear();
  }

  /// Runs a step of the core and adds its processor time, without that of the fakes it calls.
  void Run(const Step& step) {
    if (m_core == nullptr) return;
    m_outside_ns = 0;
    const double begin = ProcessorTime();
    step(*m_core);
    m_counters.core_ns += ProcessorTime() - begin - m_outside_ns;
    ScheduleTick();
  }

  bool IsReady() const { return m_core != nullptr && m_core->IsReady(); }
  const EntryId& id() const { return m_core->id(); }
  CapacityCounters& counters() { return m_counters; }

  Time Now() const override { return m_world.clock.Now(); }
  std::uint64_t Random() override { return m_random(); }

  void Commit(const Transaction& transaction, CommitCallback done) override {
    const Outside outside(*this);
    ++m_counters.table_writes;
    if (!transaction.writes.empty()) ++m_counters.writes_by_kind[KindOf(transaction.writes.front().key)];
    m_counters.rows_written += static_cast<double>(transaction.writes.size());
    m_counters.bytes_written += Encoded([&] { return EncodeTableRequest(transaction).body; });
    After(kTableLatency, [this, transaction, done = InProcess(std::move(done))] {
      const CommitReply reply = m_surroundings.table.Commit(transaction);
      if (reply.status == CommitStatus::kConflict) ++m_counters.conflicts;
      After(kTableLatency, [done, reply] { done(reply); });
    });
  }

  void Read(const ReadRequest& request, ReadCallback done) override {
    const Outside outside(*this);
    ++m_counters.table_reads;
    if (!request.keys.empty()) ++m_counters.reads_by_kind[KindOf(request.keys.front())];
    m_counters.bytes_read += Encoded([&] { return EncodeTableRequest(request).body; });
    After(kTableLatency, [this, request, done = InProcess(std::move(done))] {
      const ReadReply reply = m_surroundings.table.Read(request);
      const std::string body = EncodeReadReply(reply);
      m_counters.rows_read += static_cast<double>(reply.rows.size());
      m_counters.bytes_read += static_cast<double>(body.size());
      Timed([&] { return DecodeReadReply(body); });
      After(kTableLatency, [done, reply] { done(reply); });
    });
  }

  void Lookup(const TransactionId& id, LookupCallback done) override {
    const Outside outside(*this);
    After(2 * kTableLatency, [this, id, done = InProcess(std::move(done))] { done(m_surroundings.table.Lookup(id)); });
  }

  void ConnectPeer(const EntryId& peer, const std::string& address) override { m_peers[peer] = address; }
  void DisconnectPeer(const EntryId& peer) override { m_peers.erase(peer); }

  void SendPeer(const EntryId& peer, const PeerMessage& message) override {
    const Outside outside(*this);
    const auto address = m_peers.find(peer);
    if (address == m_peers.end()) return;
    const auto target = m_surroundings.entries.find(address->second);
    if (target == m_surroundings.entries.end()) return;
    ++m_counters.peer_messages;
    const double bytes = Encoded([&] { return EncodeFrame(message); });
    m_counters.peer_bytes += bytes;
    if (std::holds_alternative<TaskProbe>(message) || std::holds_alternative<TaskRunning>(message)) {
      ++m_counters.probe_messages;
      m_counters.probe_bytes += bytes;
    }
    const Duration latency = m_world.network.Latency(m_settings.name, target->second->m_settings.name);
    After(latency, [entry = target->second.get(), peer, message, from = m_core->id()] {
      entry->Run([&](EntryCore& core) {
        if (core.id() == peer) core.OnPeer(from, message);
      });
    });
  }

  void CallUpstream(const UpstreamId& upstream, const std::string& /*address*/, const UpstreamRequest& request,
                    Time /*deadline*/, UpstreamCallback done) override {
    const Outside outside(*this);
    ++m_counters.upstream_calls;
    m_counters.upstream_bytes += Encoded([&] { return EncodeUpstreamRequest(request).body; });
    const Duration latency = m_world.network.Latency(m_settings.name, upstream.value());
    SessionRunner* runner = m_surroundings.runners.at(upstream).get();
    After(latency, [this, runner, request, latency, done = InProcess(std::move(done))] {
      runner->Call(request, [this, latency, done](const UpstreamReply& reply) {
        const std::string body = EncodeUpstreamReply(reply);
        m_counters.upstream_bytes += static_cast<double>(body.size());
        Timed([&] { return DecodeUpstreamReply(body); });
        After(latency, [done, reply] { done(reply); });
      });
    });
  }

  void Reply(RequestId request, const Response& response) override {
    const Outside outside(*this);
    m_surroundings.on_reply(request, response);
  }

  void Emit(const Event& /*event*/) override {}

 private:
  static constexpr Duration kTableLatency = std::chrono::milliseconds(1);
  static constexpr Duration kPollInterval = std::chrono::seconds(1);

  static std::string KindOf(const std::string& key) { return key.substr(0, key.find('/')); }

  /// Nanoseconds of processor time of this thread.
  static double ProcessorTime() {
    constexpr double kNanosPerSecond = 1e9;
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * kNanosPerSecond + static_cast<double>(now.tv_nsec);
  }

  /// Excludes the time in a fake from the time of the core.
  class Outside {
   public:
    explicit Outside(CapacityEntry& entry) : m_entry(entry), m_begin(ProcessorTime()) {}
    ~Outside() { m_entry.m_outside_ns += ProcessorTime() - m_begin; }
    Outside(const Outside&) = delete;
    Outside& operator=(const Outside&) = delete;

   private:
    CapacityEntry& m_entry;
    double m_begin;
  };

  template <typename Function>
  std::invoke_result_t<Function> Timed(Function function) {
    const double begin = ProcessorTime();
    auto result = function();
    m_counters.codec_ns += ProcessorTime() - begin;
    return result;
  }

  template <typename Function>
  double Encoded(Function encode) {
    return static_cast<double>(Timed(encode).size());
  }

  void After(Duration delay, Timers::Callback callback) { m_world.clock.After(delay, std::move(callback)); }

  /// Drops answers to a process that has ended.
  template <typename Message>
  std::function<void(const Message&)> InProcess(std::function<void(const Message&)> done) {
    return [this, generation = m_generation, done = std::move(done)](const Message& message) {
      if (generation == m_generation) Run([&](EntryCore&) { done(message); });
    };
  }

  void ScheduleTick() {
    const std::optional<Time> next = m_core->NextDeadline();
    if (!next || *next >= m_next_tick) return;
    m_next_tick = *next;
    m_world.clock.At(*next, [this, generation = m_generation, due = *next] {
      if (generation != m_generation) return;
      if (m_next_tick == due) m_next_tick = Time::max();
      Run([](EntryCore& core) { core.OnTick(); });
    });
  }

  void PollInstances() {
    const std::string body = boost::json::serialize(ToJson(m_surroundings.instances));
    m_counters.list_bytes += static_cast<double>(body.size());
    Timed([&] { return InstanceListFromJson(*ParseObject(body, ""), ""); });
    Run([this](EntryCore& core) { core.OnInstances(m_surroundings.instances); });
    After(kPollInterval, [this, generation = m_generation] {
      if (generation == m_generation) PollInstances();
    });
  }

  CapacitySurroundings& m_surroundings;
  SessionWorld& m_world;
  EntrySettings m_settings;
  std::mt19937_64 m_random;
  std::unique_ptr<EntryCore> m_core;
  std::uint64_t m_generation = 0;
  std::map<EntryId, std::string> m_peers;
  CapacityCounters m_counters;
  double m_outside_ns = 0;
  Time m_next_tick = Time::max();
};

}  // namespace jaymast
