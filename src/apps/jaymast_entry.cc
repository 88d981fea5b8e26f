// Entry process: serves callers and operators, and schedules work on the upstreams of its failure domain.
#include <glog/logging.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <string>
#include <utility>

#include "runtime/entry_core_driver.h"
#include "runtime/entry_process.h"
#include "runtime/settings.h"
#include "runtime/toml_reader.h"

namespace jaymast {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitSettings = 2;
constexpr int kExitStart = 3;
constexpr int kExitStopTimeout = 4;

int PrintError(const Error& error, int exit_code) {
  std::cerr << "jaymast-entry: " << ToString(error.id) << ": " << error.path << ": " << error.reason << "\n";
  return exit_code;
}

/// Signals that the main thread waits for. They must be blocked before the first thread starts.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A closed event output is reported by the write call.
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

/// Waits for SIGTERM or SIGINT. Reloads the TLS files at SIGHUP and at the interval.
void WaitForStopSignal(const sigset_t& signals, EntryProcess& process, std::chrono::milliseconds reload_interval) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(reload_interval);
  const timespec interval{seconds.count(), std::chrono::nanoseconds(reload_interval - seconds).count()};
  while (true) {
    const int signal = sigtimedwait(&signals, nullptr, &interval);
    if (signal == SIGTERM || signal == SIGINT) return;
    process.ReloadTls();
  }
}

std::unique_ptr<CoreDriver> MakeCore(const EntrySettings& settings, Effects& effects) {
  return std::make_unique<EntryCoreDriver>(settings, effects);
}

int Run(const std::string& file) {
  Result<TomlReader> reader = TomlReader::ReadFile(file);
  if (!reader) return PrintError(reader.error(), kExitSettings);
  const Result<Settings> settings = ReadSettings(std::move(*reader));
  if (!settings) return PrintError(settings.error(), kExitSettings);
  FLAGS_minloglevel = settings->log_level;

  const sigset_t signals = BlockSignals();
  const auto process = EntryProcess::Start(*settings, MakeCore);
  if (!process) return PrintError(process.error(), kExitStart);
  LOG(INFO) << "jaymast.entry.started http=" << (*process)->http_address() << " peer=" << (*process)->peer_address();

  WaitForStopSignal(signals, **process, settings->tls_reload_interval);
  LOG(INFO) << "jaymast.entry.stopping";
  (*process)->RequestStop();
  if (!(*process)->WaitUntilStopped(settings->stop_timeout)) {
    LOG(ERROR) << "jaymast.entry.stop-timeout: requests or hand-overs were cut";
    return kExitStopTimeout;
  }
  LOG(INFO) << "jaymast.entry.stopped";
  return kExitOk;
}

}  // namespace
}  // namespace jaymast

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  CLI::App app("Entry process of the cluster scheduler jaymast");
  std::string file;
  app.add_option("--config", file, "Settings file (TOML)")->required();
  app.set_version_flag("--version", "jaymast-entry " JAYMAST_VERSION);
  CLI11_PARSE(app, argc, argv);
  return jaymast::Run(file);
}
