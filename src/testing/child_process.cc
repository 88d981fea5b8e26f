#include "testing/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <system_error>

namespace jaymast {
namespace {

constexpr mode_t kLogMode = 0644;

std::vector<char*> Pointers(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (std::string& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
                           const std::vector<std::string>& environment, const std::string& log_path) {
  std::vector<std::string> argument_texts = {program};
  argument_texts.insert(argument_texts.end(), arguments.begin(), arguments.end());
  std::vector<std::string> environment_texts = environment;
  if (const char* path = std::getenv("PATH")) environment_texts.push_back(std::string("PATH=") + path);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = ::posix_spawn(&m_pid, program.c_str(), &actions, nullptr, Pointers(argument_texts).data(),
                                  Pointers(environment_texts).data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error(program + ": " + std::generic_category().message(error));
}

ChildProcess::~ChildProcess() {
  if (!IsAlive()) return;
  ::kill(m_pid, SIGKILL);
  ::waitpid(m_pid, nullptr, 0);
}

bool ChildProcess::IsAlive() {
  if (!m_has_ended) m_has_ended = ::waitpid(m_pid, nullptr, WNOHANG) != 0;
  return !m_has_ended;
}

std::int64_t ChildProcess::OpenDescriptors() const {
  std::error_code ec;
  const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_pid) + "/fd", ec);
  if (ec) return -1;
  return std::distance(begin(entries), end(entries));
}

std::int64_t ChildProcess::StatusKb(const std::string& name) const {
  std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
  std::string word;
  while (status >> word) {
    if (word != name) continue;
    std::int64_t kilobytes = -1;
    status >> kilobytes;
    return kilobytes;
  }
  return -1;
}

}  // namespace jaymast
