#include "testing/session_intent.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/hash.h"
#include "testing/session_callers.h"

namespace jaymast {
namespace {

using Words = std::vector<std::string>;

std::int64_t ToNumber(const std::string& word) { return std::strtoll(word.c_str(), nullptr, 10); }

Intent Give(const Words& words) {
  return GrantKeyIntent{KeyId(words[0]),
                        ApiKey{Sha256Hex(SessionCallers::SecretOf(words[0])), TeamId(words[1]), Role::kSubmitter}};
}

Intent RunService(const Words& words) {
  RunIntent intent;
  intent.spec.team = TeamId(words[0]);
  intent.spec.kind = "service";
  intent.spec.work_class = WorkClass::kService;
  intent.spec.demand = Resources{1000, 1024, 0, 1};
  intent.replicas = ToNumber(words[1]);
  intent.spec.declared_run_ms = ToNumber(words[2]);
  return intent;
}

struct IntentVerb {
  std::size_t words;
  std::function<Intent(const Words&)> make;
};

const std::map<std::string, IntentVerb>& Verbs() {
  static const std::map<std::string, IntentVerb> kVerbs = {
      {"domain-out",
       {1,
        [](const Words& w) {
          return SetDomainIntent{DomainId(w[0]), true};
        }}},
      {"domain-in",
       {1,
        [](const Words& w) {
          return SetDomainIntent{DomainId(w[0]), false};
        }}},
      {"upstream-out",
       {1,
        [](const Words& w) {
          return SetUpstreamIntent{UpstreamId(w[0]), true};
        }}},
      {"upstream-in",
       {1,
        [](const Words& w) {
          return SetUpstreamIntent{UpstreamId(w[0]), false};
        }}},
      {"limit",
       {2,
        [](const Words& w) {
          return SetTeamIntent{TeamId(w[0]), Team{1, ToNumber(w[1])}};
        }}},
      {"share",
       {3,
        [](const Words& w) {
          return SetTeamIntent{TeamId(w[0]), Team{ToNumber(w[1]), ToNumber(w[2])}};
        }}},
      {"withdraw", {1, [](const Words& w) { return RevokeKeyIntent{KeyId(w[0])}; }}},
      {"give", {2, Give}},
      {"remove-team", {1, [](const Words& w) { return RemoveTeamIntent{TeamId(w[0])}; }}},
      {"run", {3, RunService}},
  };
  return kVerbs;
}

}  // namespace

std::optional<Intent> ParseSessionIntent(const SessionCommand& command) {
  const auto begin = std::find(command.words.begin(), command.words.end(), "intent");
  if (command.words.end() - begin < 2) return std::nullopt;
  const auto verb = Verbs().find(*(begin + 1));
  const Words words(begin + 2, command.words.end());
  if (verb == Verbs().end() || words.size() != verb->second.words) return std::nullopt;
  return verb->second.make(words);
}

}  // namespace jaymast
