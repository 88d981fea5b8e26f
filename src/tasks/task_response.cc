#include "tasks/task_response.h"

#include <boost/json.hpp>

#include "base/http_status.h"
#include "tasks/home_task.h"

namespace jaymast {
namespace {

int StatusOf(const Error& error) {
  switch (error.id) {
    case ErrorId::kTaskUnknown:
      return kStatusNotFound;
    case ErrorId::kIdempotencyMismatch:
      return kStatusConflict;
    case ErrorId::kOutcomeUnknown:
      return kStatusGatewayTimeout;
    default:
      return kStatusUnavailable;
  }
}

}  // namespace

Response ErrorResponse(const Error& error, Verdict verdict) {
  Response response;
  response.status = StatusOf(error);
  response.verdict = verdict;
  response.error = error;
  return response;
}

Verdict VerdictOf(const HomeTask& task) {
  if (task.HasOutcome()) return task.end.verdict;
  return task.is_claimed ? Verdict::kMayHaveRun : Verdict::kNotRun;
}

std::string DescribeTask(const HomeTask& task) {
  const bool has_ended = task.HasOutcome();
  const bool has_output = has_ended && task.end.state == EndState::kSucceeded;
  const boost::json::object object = {{"id", task.spec.id.value()},
                                      {"team", task.spec.team.value()},
                                      {"kind", task.spec.kind},
                                      {"class", ToString(task.spec.work_class)},
                                      {"semantics", ToString(task.spec.semantics)},
                                      {"state", has_ended ? ToString(task.end.state) : ToString(task.phase)},
                                      {"attempt", task.attempt},
                                      {"upstream", task.upstream.value()},
                                      {"verdict", ToString(VerdictOf(task))},
                                      {"error", ToString(has_ended ? task.end.error : ErrorId::kNone)},
                                      {"reason", has_ended && !has_output ? task.end.output : task.wait_reason},
                                      {"output", has_output ? task.end.output : std::string()}};
  return boost::json::serialize(object);
}

}  // namespace jaymast
