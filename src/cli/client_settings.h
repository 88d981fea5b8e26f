#pragma once

#include <chrono>
#include <string>

#include "base/result.h"
#include "cli/command_context.h"
#include "cli/located_document.h"

namespace jaymast {

/// Settings of the program `jaymast`. Options on the command line take precedence over the settings file.
struct ClientSettings {
  /// IP number and port of an entry, or of several, separated by commas. A request goes to the first that is reachable.
  std::string server = "127.0.0.1:8080";
  std::string key_file;  ///< file with the secret of a key, empty to send none
  std::string ca_file;   ///< certificates that sign the server's, empty for plain HTTP
  OutputFormat output = OutputFormat::kTable;
};

/// Reads a settings file.
/// @return the settings, or an error with file, line and key
Result<ClientSettings> ClientSettingsFromDocument(const LocatedDocument& document);

}  // namespace jaymast
