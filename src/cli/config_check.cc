#include "cli/config_check.h"

#include <fmt/format.h>

#include <ostream>
#include <utility>

#include "cli/client_settings.h"
#include "cli/input_files.h"
#include "cli/located_document.h"
#include "runtime/settings.h"
#include "runtime/toml_reader.h"

namespace jaymast {
namespace {

std::string KindOf(const LocatedDocument& document) {
  if (document.root().contains("intent")) return "intents";
  if (document.root().contains("task")) return "tasks";
  if (document.root().contains("platform") || document.root().contains("peer")) return "entry";
  return "client";
}

Result<Settings> EntrySettingsFromText(const std::string& text, const std::string& file) {
  Result<TomlReader> reader = TomlReader::ReadText(text, file);
  if (!reader) return reader.error();
  return ReadSettings(std::move(*reader));
}

template <typename T>
ExitCode Report(CommandContext& context, const std::string& file, const std::string& kind, const Result<T>& result) {
  if (!result) return ReportError(context, result.error());
  context.out << fmt::format("{}: valid ({})\n", file, kind);
  return ExitCode::kSuccess;
}

}  // namespace

std::vector<std::string> ConfigCheckKinds() { return {"auto", "intents", "tasks", "client", "entry"}; }

ExitCode RunConfigCheck(CommandContext& context, const std::string& file, const std::string& kind) {
  const Result<std::string> text = ReadInputFile(file);
  if (!text) return ReportError(context, text.error());
  const Result<LocatedDocument> document = LocatedDocument::Parse(*text, file);
  if (!document) return ReportError(context, document.error());
  const std::string decided = kind == "auto" ? KindOf(*document) : kind;
  if (decided == "intents") return Report(context, file, decided, IntentsFromDocument(*document));
  if (decided == "tasks") return Report(context, file, decided, TasksFromDocument(*document));
  if (decided == "entry") return Report(context, file, decided, EntrySettingsFromText(*text, file));
  return Report(context, file, decided, ClientSettingsFromDocument(*document));
}

}  // namespace jaymast
