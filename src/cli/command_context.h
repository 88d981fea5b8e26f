#pragma once

#include <array>
#include <boost/json/object.hpp>
#include <chrono>
#include <functional>
#include <iosfwd>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "cli/api_client.h"
#include "cli/exit_code.h"
#include "cli/palette.h"

namespace jaymast {

enum class OutputFormat { kTable, kJson };

template <>
struct EnumNames<OutputFormat> {
  static constexpr std::array<std::string_view, 2> kNames = {"table", "json"};
};

/// What a command may use: the connection, the streams and the options that all commands share.
struct CommandContext {
  ApiClient& api;
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
  Palette palette = Palette(false);
  OutputFormat output = OutputFormat::kTable;
  bool assume_yes = false;                               ///< confirm plans without asking
  std::function<std::string()> random_hex;               ///< 64 hexadecimal digits from the system's random source
  std::function<void(std::chrono::milliseconds)> sleep;  ///< pause between two polls
};

/// Sends a call whose answer is a JSON object. Prints the problem when there is none.
///
/// @param code set to the exit code of the problem; unchanged on success
/// @return whether `object` was filled
bool CallForObject(CommandContext& context, const ApiCall& call, boost::json::object& object, ExitCode& code);

/// Reads an answer whose body is a JSON object.
/// @return false when there is no answer, its status is an error, or its body is not an object
bool ObjectFromReply(const Result<ApiReply>& reply, boost::json::object& object);

/// Prints the problem of an answer that is not a success, and returns its exit code.
ExitCode ReportReply(CommandContext& context, const Result<ApiReply>& reply);

/// Prints an error and returns its exit code.
ExitCode ReportError(CommandContext& context, const Error& error);

/// Prints an object as JSON or as text, as the options say.
void PrintObject(CommandContext& context, const boost::json::object& object);

/// Escapes a text for use as one segment of the target of a request.
std::string UrlSegment(std::string_view text);

}  // namespace jaymast
