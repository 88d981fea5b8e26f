#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <array>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "runtime/toml_reader.h"
#include "testing/event_line.h"
#include "timeline/event_filter.h"
#include "timeline/event_merger.h"
#include "timeline/lane_drawing.h"
#include "timeline/log_check.h"
#include "timeline/log_reader.h"

namespace jaymast {
namespace {

constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;
constexpr int kExitInput = 3;
constexpr double kMicrosPerMilli = 1000;

enum class Drawing { kText, kSvg, kHtml };

}  // namespace

template <>
struct EnumNames<Drawing> {
  static constexpr std::array<std::string_view, 3> kNames = {"text", "svg", "html"};
};

namespace {

struct Options {
  std::vector<std::string> logs;
  std::string config;
  std::string output;
  std::string facts;
  std::string task;
  std::string team;
  std::string domain;
  std::vector<std::string> kinds;
  std::optional<double> from_ms;
  std::optional<double> to_ms;
  bool check = false;
};

void AddOptions(CLI::App& app, Options& options) {
  app.set_version_flag("--version", "jaymast-timeline " JAYMAST_VERSION);
  app.add_option("LOG", options.logs, "Event logs, one JSON object a line")->required();
  app.add_option("--config", options.config, "TOML file with the setting output");
  app.add_option("--output", options.output, "text, svg or html [text]")->check(CLI::IsMember({"text", "svg", "html"}));
  app.add_option("--task", options.task, "Only events of this task");
  app.add_option("--team", options.team, "Only events of this team and its tasks");
  app.add_option("--domain", options.domain, "Only events of this failure domain and its upstreams");
  app.add_option("--kind", options.kinds, "Only events of these kinds, separated by commas")->delimiter(',');
  app.add_option("--from", options.from_ms, "First time in milliseconds, as printed");
  app.add_option("--to", options.to_ms, "Last time in milliseconds, as printed");
  app.add_flag("--check", options.check, "Check the guarantees over the whole merged log instead of printing it");
  app.add_option("--facts", options.facts, "JSON file with upstreams, tasks, configs and crashed, for --check");
  app.footer("Exit codes: 0 success, 1 a guarantee is violated, 2 wrong arguments, 3 invalid file.");
}

Result<std::string> ReadFile(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) return Error{ErrorId::kInputSyntax, file, "cannot read the file"};
  return std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
}

Result<std::vector<Event>> ReadLogs(const std::vector<std::string>& files) {
  std::vector<Event> events;
  for (const std::string& file : files) {
    const Result<std::string> text = ReadFile(file);
    if (!text) return text.error();
    const Result<EventLog> log = ParseEventLog(*text, file);
    if (!log) return log.error();
    if (log->truncated) std::cerr << fmt::format("warning: {}: the last line is cut off\n", file);
    events.insert(events.end(), log->events.begin(), log->events.end());
  }
  return events;
}

std::optional<Time> FromMillis(const std::optional<double>& millis) {
  if (!millis) return std::nullopt;
  return TimeFromMicros(static_cast<std::int64_t>(*millis * kMicrosPerMilli));
}

Result<EventFilter> FilterFrom(const Options& options) {
  EventFilter filter;
  filter.task = options.task;
  filter.team = options.team;
  filter.domain = options.domain;
  filter.from = FromMillis(options.from_ms);
  filter.to = FromMillis(options.to_ms);
  for (const std::string& name : options.kinds) {
    const std::optional<EventKind> kind = FromString<EventKind>(name);
    if (!kind) return Error{ErrorId::kInputField, "--kind", "unknown kind of event '" + name + "'"};
    filter.kinds.insert(*kind);
  }
  return filter;
}

Result<Drawing> DrawingFrom(const Options& options) {
  Drawing drawing = Drawing::kText;
  if (!options.config.empty()) {
    Result<TomlReader> reader = TomlReader::ReadFile(options.config);
    if (!reader) return reader.error();
    drawing = reader->Enum("output", drawing);
    if (const auto error = reader->Finish()) return *error;
  }
  return FromString<Drawing>(options.output).value_or(drawing);
}

int Fail(const Error& error) {
  std::cerr << fmt::format("error: {}: {}: {}\n", ToString(error.id), error.path, error.reason);
  return kExitInput;
}

int Check(const Options& options, const std::vector<TimelineEvent>& events) {
  LogFacts known;
  if (!options.facts.empty()) {
    const Result<std::string> text = ReadFile(options.facts);
    if (!text) return Fail(text.error());
    Result<LogFacts> facts = LogFactsFromJson(*text, options.facts);
    if (!facts) return Fail(facts.error());
    known = std::move(*facts);
  }
  const std::vector<Violation> violations = CheckTimeline(events, known);
  for (const Violation& violation : violations) {
    std::cout << fmt::format("{}: {}\n  {}\n", violation.guarantee, violation.reason, EventLine(violation.event));
  }
  std::cout << fmt::format("{} events, {} violations\n", events.size(), violations.size());
  return violations.empty() ? 0 : kExitViolation;
}

void Print(Drawing drawing, const std::vector<TimelineEvent>& events) {
  switch (drawing) {
    case Drawing::kText:
      for (const TimelineEvent& item : events) std::cout << EventLine(item.Dated()) << "\n";
      break;
    case Drawing::kSvg:
      std::cout << DrawSvg(events);
      break;
    case Drawing::kHtml:
      std::cout << DrawHtml(events);
      break;
  }
}

int Run(const Options& options) {
  const Result<Drawing> drawing = DrawingFrom(options);
  if (!drawing) return Fail(drawing.error());
  const Result<EventFilter> filter = FilterFrom(options);
  if (!filter) return Fail(filter.error());
  const Result<std::vector<Event>> events = ReadLogs(options.logs);
  if (!events) return Fail(events.error());
  const std::vector<TimelineEvent> merged = MergeEvents(*events);
  if (options.check) return Check(options, merged);
  Print(*drawing, FilterEvents(merged, *filter));
  return 0;
}

}  // namespace
}  // namespace jaymast

int main(int argc, char** argv) {
  CLI::App app("Merges the event logs of all processes into one time line.", "jaymast-timeline");
  jaymast::Options options;
  try {
    jaymast::AddOptions(app, options);
    app.parse(argc, argv);
    return jaymast::Run(options);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : jaymast::kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return jaymast::kExitInput;
  }
}
