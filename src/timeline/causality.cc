#include "timeline/causality.h"

#include <fmt/format.h>

#include <string_view>

#include "base/verdict.h"

namespace jaymast {
namespace {

std::string AttemptFact(std::string_view name, const Event& event) {
  return fmt::format("{}/{}/{}", name, event.task.value(), event.attempt);
}

std::string EpochFact(const Event& event) { return fmt::format("fenced/{}/{}", event.upstream.value(), event.epoch); }

std::string ConfigFact(const Event& event) { return fmt::format("config/{}", event.config_version); }

}  // namespace

std::vector<std::string> FactsEstablishedBy(const Event& event) {
  switch (event.kind) {
    case EventKind::kTaskAccepted:
      return {"accepted/" + event.task.value()};
    case EventKind::kTaskClaimed:
      return {AttemptFact("claimed", event)};
    case EventKind::kStartSent:
      return {AttemptFact("sent", event)};
    case EventKind::kRunnerStarted:
      return {AttemptFact("started", event)};
    case EventKind::kRunnerEnded:
      return {AttemptFact("ended", event)};
    case EventKind::kRunnerFenced:
      return {EpochFact(event)};
    case EventKind::kConfigCommitted:
      return {ConfigFact(event)};
    default:
      return {};
  }
}

std::vector<std::string> FactsRequiredBy(const Event& event) {
  switch (event.kind) {
    case EventKind::kTaskClaimed:
      return {"accepted/" + event.task.value()};
    case EventKind::kStartSent:
      return {AttemptFact("claimed", event)};
    case EventKind::kRunnerStarted:
      return {AttemptFact("claimed", event), AttemptFact("sent", event)};
    case EventKind::kRunnerEnded:
      return {AttemptFact("started", event)};
    case EventKind::kTaskEnded:
      if (event.verdict != ToString(Verdict::kRan)) return {AttemptFact("claimed", event)};
      return {AttemptFact("claimed", event), AttemptFact("ended", event)};
    case EventKind::kOwnerFenced:
      return {EpochFact(event)};
    case EventKind::kConfigInstalled:
    case EventKind::kConfigAccepted:
      return {ConfigFact(event)};
    default:
      return {};
  }
}

}  // namespace jaymast
