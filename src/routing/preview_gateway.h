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

/// Serves previews for callers: chooses an owner, retries within the deadline and the budget, and answers once.
class PreviewGateway {
 public:
  PreviewGateway(Context& context, const ConfigStore& config, Router& router, Executor& executor);

  /// Runs an authenticated preview whose team and id are set.
  void Submit(RequestId request, TaskSpec spec, Time deadline);

  /// Takes in the answer of another entry. An answer to an earlier attempt is dropped.
  void OnRunReply(const RunReply& reply);

  void OnRequestGone(RequestId request);

  /// Answers all open previews: this entry starts over with a new id.
  void AbandonAll();

  std::size_t open() const { return m_open.size(); }

 private:
  struct Preview {
    RequestId request = 0;
    TaskSpec spec;
    Time deadline;
    std::int64_t attempt = 0;
    bool may_have_run = false;             ///< an attempt ended without certainty
    std::set<std::int64_t> open_attempts;  ///< attempts that an owner has not answered yet
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
