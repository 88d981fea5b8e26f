#include "testing/session_entry.h"

#include <utility>

namespace jaymast {
namespace {

constexpr Duration kInstancePollInterval = std::chrono::seconds(1);
constexpr Duration kProcessStartTime = std::chrono::milliseconds(1);

}  // namespace

SessionEntry::SessionEntry(Surroundings surroundings, EntrySettings settings, std::uint64_t seed)
    : m_surroundings(std::move(surroundings)),
      m_world(m_surroundings.world),
      m_settings(std::move(settings)),
      m_random(seed) {}

SessionEntry::~SessionEntry() = default;

void SessionEntry::Start() {
  if (IsRunning()) return;
  ++m_generation;
  m_paused = false;
  m_next_tick = Time::max();
  m_core = std::make_unique<EntryCore>(m_settings, *this);
  Run([](EntryCore& core) { core.Start(); });
  const auto poll = InProcess<int>([this](int) { PollInstances(); });
  m_world.clock.After(kProcessStartTime, [poll] { poll(0); });
}

void SessionEntry::Kill() {
  if (IsRunning()) End();
}

void SessionEntry::End() {
  m_core.reset();
  ++m_generation;
  m_pending.clear();
  m_peers.clear();
  for (const auto& [id, open] : std::exchange(m_open, {})) m_surroundings.on_reply(id, nullptr);
}

void SessionEntry::Resume() {
  if (!std::exchange(m_paused, false)) return;
  // What arrived during the pause is handled before the timers that are overdue.
  for (const Step& step : std::exchange(m_pending, {})) Run(step);
  if (IsRunning()) AfterStep();
}

void SessionEntry::StopGracefully() {
  Run([](EntryCore& core) { core.OnStopRequested(); });
}

void SessionEntry::Run(const Step& step) {
  if (!IsRunning()) return;
  if (m_paused) {
    m_pending.push_back(step);
    return;
  }
  step(*m_core);
  AfterStep();
}

void SessionEntry::AfterStep() {
  if (m_core->IsStopped()) return End();
  ScheduleTick();
}

void SessionEntry::ScheduleTick() {
  const std::optional<Time> next = m_core->NextDeadline();
  if (!next || *next >= m_next_tick) return;
  m_next_tick = *next;
  const std::uint64_t generation = m_generation;
  m_world.clock.At(*next, [this, generation, due = *next] {
    if (generation != m_generation) return;
    if (m_next_tick == due) m_next_tick = Time::max();
    Run([](EntryCore& core) { core.OnTick(); });
  });
}

template <typename Message>
std::function<void(const Message&)> SessionEntry::InProcess(std::function<void(const Message&)> done) {
  return [this, generation = m_generation, done = std::move(done)](const Message& message) {
    if (generation != m_generation) return;
    Run([done, message](EntryCore&) { done(message); });
  };
}

void SessionEntry::PollInstances() {
  if (m_world.network.IsReachable(name(), kPlatform)) {
    const InstanceList list = m_surroundings.platform.VisibleInstances();
    for (const UpstreamInfo& info : list.upstreams) {
      if (info.leaving) m_world.facts.leaving_told.try_emplace({info.id, name()}, Now());
    }
    m_core->OnInstances(list);
  }
  const auto poll = InProcess<int>([this](int) { PollInstances(); });
  m_world.clock.After(kInstancePollInterval, [poll] { poll(0); });
}

void SessionEntry::OnRequest(RequestId id, const Request& request) {
  if (!IsRunning()) return m_surroundings.on_reply(id, nullptr);
  m_open[id] = true;
  Run([id, request](EntryCore& core) { core.OnRequest(id, request); });
}

void SessionEntry::Commit(const Transaction& transaction, CommitCallback done) {
  m_surroundings.platform.Commit(name(), transaction, InProcess<CommitReply>(std::move(done)));
}

void SessionEntry::Read(const ReadRequest& request, ReadCallback done) {
  m_surroundings.platform.Read(name(), request, InProcess<ReadReply>(std::move(done)));
}

void SessionEntry::Lookup(const TransactionId& id, LookupCallback done) {
  m_surroundings.platform.Lookup(name(), id, InProcess<LookupReply>(std::move(done)));
}

SessionEntry* SessionEntry::FindPeer(const EntryId& peer) const {
  const auto address = m_peers.find(peer);
  if (address == m_peers.end()) return nullptr;
  for (const auto& [other, entry] : m_surroundings.entries) {
    if (entry->m_settings.peer_address == address->second) return entry.get();
  }
  return nullptr;
}

void SessionEntry::SendPeer(const EntryId& peer, const PeerMessage& message) {
  SessionEntry* target = FindPeer(peer);
  if (target == nullptr || !m_world.network.IsReachable(name(), target->name())) return;
  const Duration latency = m_world.network.Latency(name(), target->name());
  m_world.clock.After(latency, [this, target, peer, message, from = m_core->id()] {
    if (!m_world.network.IsReachable(name(), target->name())) return;
    target->Run([peer, message, from](EntryCore& core) {
      // A link belongs to one incarnation of the peer.
      if (core.id() == peer) core.OnPeer(from, message);
    });
  });
}

void SessionEntry::CallUpstream(const UpstreamId& upstream, const std::string& /*address*/,
                                const UpstreamRequest& request, Time deadline, UpstreamCallback done) {
  auto answered = std::make_shared<bool>(false);
  const auto in_process = InProcess<UpstreamReply>(std::move(done));
  const auto answer = [answered, in_process](const UpstreamReply& reply) {
    if (!std::exchange(*answered, true)) in_process(reply);
  };
  UpstreamReply not_sent;
  not_sent.status = CallStatus::kNotSent;
  const auto found = m_surroundings.runners.find(upstream.value());
  SessionRunner* runner = found == m_surroundings.runners.end() ? nullptr : found->second.get();
  const Duration latency = m_world.network.Latency(name(), upstream.value());
  if (runner == nullptr || runner->IsDown()) {
    m_world.clock.After(latency, [answer, not_sent] { answer(not_sent); });
    return;
  }
  m_world.clock.At(deadline, [answer] { answer(UpstreamReply{}); });
  m_world.clock.After(latency, [this, runner, request, answer, latency, node = upstream.value()] {
    if (!m_world.network.IsReachable(name(), node)) return;
    if (runner->IsDown()) return answer(UpstreamReply{});
    runner->Call(request, [this, runner, answer, latency, node](const UpstreamReply& reply) {
      m_world.clock.After(latency + runner->TakeAnswerDelay(), [this, answer, reply, node] {
        if (m_world.network.IsReachable(name(), node)) answer(reply);
      });
    });
  });
}

void SessionEntry::Reply(RequestId request, const Response& response) {
  m_open.erase(request);
  m_surroundings.on_reply(request, &response);
}

void SessionEntry::Emit(const Event& event) {
  Event named = event;
  named.time = Now();
  named.process = name();
  m_world.Emit(named);
}

}  // namespace jaymast
