#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/id.h"
#include "core/request.h"
#include "testing/session_script.h"
#include "testing/session_world.h"

namespace jaymast {

/// Callers and operators of a session. Each request has a name, by which later commands refer to it.
class SessionCallers {
 public:
  /// Delivers a request to an entry.
  using Send = std::function<void(const std::string& entry, RequestId id, const Request& request)>;

  SessionCallers(SessionWorld& world, Send send) : m_world(world), m_send(std::move(send)) {}

  void AddKey(const std::string& key, const std::string& team) { m_teams[KeyId(key)] = TeamId(team); }
  static std::string SecretOf(const std::string& key) { return "secret-" + key; }

  void Submit(const SessionCommand& command);
  void Preview(const SessionCommand& command);
  void QueryStatus(const SessionCommand& command);
  void Cancel(const SessionCommand& command);
  void MakePlan(const SessionCommand& command);
  void Confirm(const SessionCommand& command);
  void QueryView(const SessionCommand& command);

  /// @param response the response, or nullptr when the connection closed
  void OnReply(RequestId id, const Response* response);

  /// Response to the request with a name, or to its last repetition. Nullptr while there is none.
  const Response* Find(const std::string& name) const;

 private:
  TaskSpec MakeSpec(const SessionCommand& command, std::int64_t index) const;
  CallerRecord MakeRecord(const SessionCommand& command) const;
  void Dispatch(const SessionCommand& command, CallerRecord record, const Request& request);
  void RetryLater(const SessionCommand& command);
  void Repeat(const SessionCommand& command);
  Time Until(const SessionCommand& command, const char* option, std::int64_t fallback_ms) const;
  TaskId TaskOf(const SessionCommand& command) const;

  SessionWorld& m_world;
  Send m_send;
  RequestId m_last_request = 0;
  std::map<KeyId, TeamId> m_teams;
  std::map<RequestId, SessionCommand> m_commands;
  std::map<std::string, RequestId> m_requests;  ///< by name of the request
};

}  // namespace jaymast
