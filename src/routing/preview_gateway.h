#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "base/id.h"
#include "base/time.h"
#include "core/context.h"
#include "core/peer_message.h"
#include "core/request.h"
#include "routing/retry_budget.h"

namespace jaymast {

class ConfigStore;
class Executor;
class Router;

/// Runs previews for callers: chooses an owner, retries within the deadline and the retry budget, and responds once.
class PreviewGateway {
 public:
  PreviewGateway(Context& context, const ConfigStore& config, Router& router, Executor& executor);

  /// Runs an authenticated preview whose team and id are set.
  void Submit(RequestId request, TaskSpec spec, Time deadline);

  /// Handles the reply of an owner. A reply to an attempt that is no longer open is dropped.
  void OnRunReply(const RunReply& reply);

  /// Forgets a request whose caller has disconnected.
  void OnRequestGone(RequestId request);

  /// Responds to all open previews with an error, because this entry lost its lease and restarts with a new id.
  void AbandonAll();

  std::size_t open() const { return m_open.size(); }

 private:
  struct Preview {
    RequestId request = 0;
    TaskSpec spec;
    Time deadline;
    std::int64_t attempt = 0;
    bool may_have_run = false;             ///< an attempt has an unknown outcome
    std::set<std::int64_t> open_attempts;  ///< attempts without a reply
    std::set<EntryId> tried;
    Error last_error;
  };

  void Attempt(std::uint64_t call);
  void Retry(std::uint64_t call);
  void Hedge(std::uint64_t call, std::int64_t attempt);
  void OnDeadline(std::uint64_t call);
  void Respond(std::uint64_t call, const Response& response);
  void Fail(std::uint64_t call, int status, Error error);

  Context& m_context;
  const ConfigStore& m_config;
  Router& m_router;
  Executor& m_executor;
  RetryBudget m_budget;
  std::map<std::uint64_t, Preview> m_open;
  std::uint64_t m_next_call = 1;
};

}  // namespace jaymast
