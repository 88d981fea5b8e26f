#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace jaymast {

/// A program that a test runs as a child process, with what the kernel reports about it.
class ChildProcess {
 public:
  /// Starts the program with standard output and error in a file.
  /// @param arguments without the name of the program
  /// @param environment as NAME=VALUE, in addition to PATH
  /// @param log_path file that is overwritten
  /// @throws std::runtime_error if the program cannot be started
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
               const std::vector<std::string>& environment, const std::string& log_path);

  /// Kills the process if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  bool IsAlive();

  /// Resident memory in KB, now and at its highest so far, or -1 if the process has ended.
  std::int64_t ResidentKb() const { return StatusKb("VmRSS:"); }
  std::int64_t PeakResidentKb() const { return StatusKb("VmHWM:"); }

  /// Number of open file descriptors, or -1 if the process has ended.
  std::int64_t OpenDescriptors() const;

 private:
  std::int64_t StatusKb(const std::string& name) const;

  pid_t m_pid = 0;
  bool m_has_ended = false;
};

}  // namespace jaymast
