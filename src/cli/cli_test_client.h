#pragma once

#include <deque>
#include <string>
#include <vector>

#include "cli/api_client.h"

namespace jaymast {

/// Answers calls from a list and records them.
class ScriptedClient : public ApiClient {
 public:
  void Answer(int status, std::string body) { m_answers.emplace_back(ApiReply{status, std::move(body)}); }
  void Fail(ErrorId id) { m_answers.emplace_back(Error{id, "127.0.0.1:1", "scripted failure"}); }

  Result<ApiReply> Send(const ApiCall& call) override {
    calls.push_back(call);
    if (m_answers.empty()) return Error{ErrorId::kNotServing, call.target, "no answer in the script"};
    Result<ApiReply> answer = m_answers.front();
    m_answers.pop_front();
    return answer;
  }

  std::vector<ApiCall> calls;

 private:
  std::deque<Result<ApiReply>> m_answers;
};

}  // namespace jaymast
