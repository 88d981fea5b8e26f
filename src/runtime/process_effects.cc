#include "runtime/process_effects.h"

#include <chrono>
#include <memory>
#include <utility>

#include "net/http_client.h"
#include "net/peer_links.h"
#include "runtime/control_loop.h"
#include "runtime/event_log.h"
#include "runtime/http_runner.h"
#include "runtime/metrics.h"
#include "runtime/process_clock.h"

namespace jaymast {
namespace {

/// Generator seeded with as many random bits as a seed sequence makes good use of.
std::mt19937_64 SeededGenerator() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device(), device(), device(), device(), device()};
  return std::mt19937_64(seed);
}

/// Wraps a callback so that it runs on the control thread.
template <typename Reply>
auto PostToControlThread(ControlLoop& control, std::function<void(const Reply&)> done) {
  return [&control, done = std::move(done)](const Reply& reply) { control.Post([done, reply] { done(reply); }); };
}

}  // namespace

ProcessEffects::ProcessEffects(Parts parts, std::string process, ReplyFunction reply)
    : m_parts(parts), m_process(std::move(process)), m_reply(std::move(reply)), m_random(SeededGenerator()) {}

Time ProcessEffects::Now() const { return m_parts.clock.Now(); }

std::uint64_t ProcessEffects::Random() { return m_random(); }

void ProcessEffects::Commit(const Transaction& transaction, CommitCallback done) {
  m_parts.table.Commit(transaction, PostToControlThread<CommitReply>(m_parts.control, std::move(done)));
}

void ProcessEffects::Read(const ReadRequest& request, ReadCallback done) {
  m_parts.table.Read(request, PostToControlThread<ReadReply>(m_parts.control, std::move(done)));
}

void ProcessEffects::Lookup(const TransactionId& id, LookupCallback done) {
  m_parts.table.Lookup(id, PostToControlThread<LookupReply>(m_parts.control, std::move(done)));
}

void ProcessEffects::ConnectPeer(const EntryId& peer, const std::string& address) {
  m_parts.links.Connect(peer, address);
}

void ProcessEffects::DisconnectPeer(const EntryId& peer) { m_parts.links.Disconnect(peer); }

void ProcessEffects::SendPeer(const EntryId& peer, const PeerMessage& message) { m_parts.links.Send(peer, message); }

void ProcessEffects::CallUpstream(const UpstreamId&, const std::string& address, const UpstreamRequest& request,
                                  Time deadline, UpstreamCallback done) {
  const auto begin = std::chrono::steady_clock::now();
  m_parts.upstream_client.Send(
      address, [request] { return RunnerHttpRequest(request); }, m_parts.clock.ToSteady(deadline),
      [this, begin, done = std::move(done)](const HttpResult& result) {
        const auto time = std::chrono::steady_clock::now() - begin;
        m_parts.metrics.Observe(Timing::kUpstreamCall, std::chrono::duration_cast<std::chrono::microseconds>(time));
        m_parts.control.Post([done, reply = UpstreamReplyOf(result)] { done(reply); });
      });
}

void ProcessEffects::Reply(RequestId request, const Response& response) { m_reply(request, response); }

void ProcessEffects::Emit(const Event& event) {
  Event complete = event;
  if (complete.time == Time()) complete.time = Now();
  if (complete.process.empty()) complete.process = m_process;
  m_parts.events.Append(std::move(complete));
}

}  // namespace jaymast
