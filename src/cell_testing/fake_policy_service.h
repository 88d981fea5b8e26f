#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "base/time.h"
#include "cell/policy_client.h"
#include "cell/upstream_client.h"
#include "cell_testing/event_queue.h"
#include "jobs/upstream_listing.h"

namespace jaymast {

/// Simulates the platform's policy service: it denies a share of the upstreams for good, takes one call at a time from
/// each caller, refuses calls beyond those that may wait, and goes on with calls that the caller has given up.
class FakePolicyService {
 public:
  static constexpr std::size_t kMaxWaitingCalls = 32;

  explicit FakePolicyService(EventQueue& queue) : m_queue(queue) {}

  /// @param done called once with the reply, unless the reply is lost
  void Call(const std::string& caller, const PolicyRequest& request, std::function<void(PolicyReply)> done) {
    ++calls;
    if (on_call) on_call(request);
    Line& line = m_lines[caller];
    if (line.waiting.size() >= kMaxWaitingCalls) {
      ++refused_calls;
      return done({});
    }
    max_open_calls_of_step = std::max(max_open_calls_of_step, ++m_open_calls[StepName(request)]);
    line.waiting.push_back({request, std::move(done)});
    if (!line.is_busy) HandleNext(line);
  }

  /// Whether a step may run on an upstream. Never changes.
  bool Allows(const JobId& job, std::size_t occurrence, std::size_t step, const UpstreamId& upstream) const {
    const std::string text =
        job.value() + "." + std::to_string(occurrence) + "." + std::to_string(step) + "@" + upstream.value();
    // FNV-1a, so that the decisions are the same on each platform.
    std::uint32_t hash = 2'166'136'261U;
    for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 16'777'619U;
    hash ^= hash >> 15U;
    hash *= 2'246'822'519U;
    hash ^= hash >> 13U;
    return static_cast<double>(hash % 1000U) < allowed_share * 1000.0;
  }

  /// Whether an upstream accepts the ticket of a start.
  bool Accepts(const StartOrder& order, const UpstreamListing& upstream) const {
    const auto found = m_tickets.find(order.ticket);
    if (found == m_tickets.end()) return false;
    const Issued& issued = found->second;
    return issued.expiry > m_queue.now() && issued.incarnation == upstream.incarnation &&
           issued.upstream == upstream.id && issued.job == order.task.job &&
           issued.occurrence == order.task.occurrence && issued.step == order.task.step;
  }

  double allowed_share = 1.0;
  std::int64_t ticket_ms = 2000;
  std::function<bool()> loses_reply;
  std::function<Duration()> extra_delay;  ///< by which the handling of a call exceeds its regular time
  std::function<void(const PolicyRequest&)> on_call;
  std::function<std::int64_t(const UpstreamId&)> incarnation_of;  ///< 0 if there is no such upstream
  int calls = 0;
  int refused_calls = 0;
  int handled_calls = 0;
  int max_open_calls_of_step = 0;  ///< at a time

 private:
  struct Waiting {
    PolicyRequest request;
    std::function<void(PolicyReply)> done;
  };
  struct Line {
    bool is_busy = false;
    std::deque<Waiting> waiting;
  };
  struct Issued {
    JobId job;
    std::size_t occurrence = 0;
    std::size_t step = 0;
    UpstreamId upstream;
    std::int64_t incarnation = 0;
    Time expiry{};
  };

  void HandleNext(Line& line) {
    line.is_busy = !line.waiting.empty();
    if (!line.is_busy) return;
    const Waiting call = std::move(line.waiting.front());
    line.waiting.pop_front();
    const Duration extra = extra_delay ? extra_delay() : Duration::zero();
    m_queue.After(std::chrono::milliseconds(call.request.expected_ms) + extra, [this, &line, call] {
      ++handled_calls;
      --m_open_calls[StepName(call.request)];
      const PolicyReply reply = Decide(call.request);
      const bool is_lost = loses_reply && loses_reply();
      HandleNext(line);
      if (!is_lost) call.done(reply);
    });
  }

  static std::string StepName(const PolicyRequest& request) {
    return request.job.value() + "." + std::to_string(request.occurrence) + "." + std::to_string(request.step);
  }

  PolicyReply Decide(const PolicyRequest& request) {
    PolicyReply reply;
    reply.is_answered = true;
    reply.ticket_ms = ticket_ms;
    for (const UpstreamId& id : request.upstreams) {
      if (!Allows(request.job, request.occurrence, request.step, id)) continue;
      const std::int64_t incarnation = incarnation_of ? incarnation_of(id) : 0;
      if (incarnation == 0) continue;
      std::string ticket = "t" + std::to_string(++m_issued);
      m_tickets[ticket] = {request.job, request.occurrence, request.step,
                           id,          incarnation,        m_queue.now() + std::chrono::milliseconds(ticket_ms)};
      reply.tickets.emplace_back(id, std::move(ticket));
    }
    return reply;
  }

  EventQueue& m_queue;
  std::map<std::string, Line> m_lines;
  std::map<std::string, Issued> m_tickets;
  std::map<std::string, int> m_open_calls;  ///< by step
  std::uint64_t m_issued = 0;
};

}  // namespace jaymast
