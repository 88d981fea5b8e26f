#include "cli/client_settings.h"

#include "base/field_reader.h"

namespace jaymast {
namespace {

constexpr std::size_t kMaxTextBytes = 4096;

}  // namespace

Result<ClientSettings> ClientSettingsFromDocument(const LocatedDocument& document) {
  FieldReader reader(document.root(), "");
  ClientSettings settings;
  settings.server = reader.String("server", settings.server, kMaxTextBytes);
  settings.key_file = reader.String("key_file", "", kMaxTextBytes);
  settings.ca_file = reader.String("ca_file", "", kMaxTextBytes);
  settings.output = reader.Enum("output", OutputFormat::kTable);
  reader.RejectUnknown();
  if (reader.error()) return document.Locate(*reader.error());
  return settings;
}

}  // namespace jaymast
