#pragma once

#include <algorithm>
#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "testing/invariants/invariant_checker.h"

namespace jaymast {

/// G6: each caller gets one response, complete and for its own request.
class AnswersChecker final : public InvariantChecker {
 public:
  explicit AnswersChecker(const Facts& facts) : InvariantChecker("G6 answers", facts) {}

 private:
  static constexpr int kOk = 200;

  void OnEvent(const Event& event) override {
    if (event.kind == EventKind::kRequestReceived) m_received[event.request] = event;
    // A caller that closed its connection gets no answer; its timeout is shorter than the service time.
    if (event.kind == EventKind::kCallerLeft) m_received.erase(event.request);
    if (event.kind != EventKind::kReplySent) return;
    const bool is_known = m_received.contains(event.request) || facts().callers.contains(event.request);
    if (!is_known) Report(event, "a response without a request");
    if (++m_replies[event.request] > 1) Report(event, "a second response to one request");
    CheckContent(event);
  }

  /// A response that carries outputs carries exactly those of its own request.
  void CheckContent(const Event& event) {
    const auto caller = facts().callers.find(event.request);
    if (caller == facts().callers.end() || !caller->second.response) return;
    const Response& response = *caller->second.response;
    if (response.raw && response.status == kOk && !IsOwnOutput(caller->second, response.body)) {
      Report(event, "the response is not the output of the caller's own task");
    }
    if (!response.raw && CountSucceeded(response.body) > CountOwnOutputs(caller->second, response.body)) {
      Report(event, "the response lacks the output of a task that succeeded");
    }
    for (const auto& [id, other] : facts().callers) {
      if (other.bodies == caller->second.bodies) continue;
      for (const std::string& mark : other.marks) {
        if (response.body.find(mark) != std::string::npos) {
          return Report(event, "the response carries the output of request " + std::to_string(id));
        }
      }
    }
  }

  void OnEnd() override {
    for (const auto& [id, event] : m_received) {
      const auto caller = facts().callers.find(id);
      const bool closed = caller != facts().callers.end() && caller->second.closed;
      if (!closed && !m_replies.contains(id)) Report(event, "the request got no response");
    }
  }

  static std::int64_t CountSucceeded(std::string_view body) {
    constexpr std::string_view kSucceeded = R"("state":"succeeded")";
    std::int64_t count = 0;
    for (auto at = body.find(kSucceeded); at != body.npos; at = body.find(kSucceeded, at + 1)) ++count;
    return count;
  }

  std::int64_t CountOwnOutputs(const CallerRecord& record, const std::string& body) const {
    return std::count_if(facts().outputs.begin(), facts().outputs.end(), [&](const auto& output) {
      const std::string& input = facts().Spec(output.first).body;
      const bool own = std::find(record.bodies.begin(), record.bodies.end(), input) != record.bodies.end();
      return own && body.find(boost::json::serialize(output.second)) != std::string::npos;
    });
  }

  /// Whether a text is the whole output of a task that the request asked for.
  bool IsOwnOutput(const CallerRecord& record, const std::string& text) const {
    return std::any_of(facts().outputs.begin(), facts().outputs.end(), [&](const auto& output) {
      const std::string& body = facts().Spec(output.first).body;
      const bool own = std::find(record.bodies.begin(), record.bodies.end(), body) != record.bodies.end();
      return own && output.second == text;
    });
  }

  std::map<RequestId, Event> m_received;
  std::map<RequestId, int> m_replies;
};

}  // namespace jaymast
