#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <string>

#include "net/io_pool.h"
#include "runtime/toml_reader.h"
#include "standin_server/event_writer.h"
#include "standin_server/standin_settings.h"
#include "standin_server/standin_site.h"

namespace jaymast {
namespace {

constexpr int kExitError = 1;
constexpr int kExitUsage = 2;

/// Run calls can take as long as their tasks. A stop does not wait longer than this for them.
constexpr std::chrono::milliseconds kShutdownTimeout{10'000};

int Fail(const Error& error, int code) {
  std::cerr << fmt::format("{}: {} [{}]\n", error.path, error.reason, ToString(error.id));
  return code;
}

Result<StandinSettings> LoadSettings(const std::string& file) {
  Result<TomlReader> reader = TomlReader::ReadFile(file);
  if (!reader) return reader.error();
  return ReadStandinSettings(std::move(*reader));
}

int Serve(const StandinSettings& settings) {
  Result<std::unique_ptr<EventWriter>> events = EventWriter::Open(settings.events);
  if (!events) return Fail(events.error(), kExitError);
  EventWriter& writer = **events;
  boost::asio::io_context signal_context;
  boost::asio::signal_set signals(signal_context, SIGINT, SIGTERM);
  signals.async_wait([](const boost::system::error_code&, int) {});
  IoPool pool(settings.threads);
  auto site = StandinSite::Start(pool, settings, [&writer](const Event& event) { writer.Write(event); });
  if (!site) return Fail(site.error(), kExitError);
  std::cerr << (*site)->Describe() << "ready" << std::endl;
  signal_context.run();
  const bool closed = (*site)->Shutdown(kShutdownTimeout);
  pool.Stop();
  if (!closed) std::cerr << "some connections were still in use\n";
  return closed ? 0 : kExitError;
}

int Main(int argc, char** argv) {
  CLI::App app("Serves fakes of the platform and of runners for tests and demos.", "jaymast-standin");
  app.set_version_flag("--version", JAYMAST_VERSION);
  std::string config;
  app.add_option("--config", config, "TOML file with the settings")->required();
  CLI11_PARSE(app, argc, argv);
  const Result<StandinSettings> settings = LoadSettings(config);
  if (!settings) return Fail(settings.error(), kExitUsage);
  return Serve(*settings);
}

}  // namespace
}  // namespace jaymast

int main(int argc, char** argv) { return jaymast::Main(argc, argv); }
