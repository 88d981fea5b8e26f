#include "cell/cell_options.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <optional>
#include <string>

namespace jaymast {

Result<CellOptions> ParseCellOptions(const std::vector<std::string_view>& arguments) {
  CellOptions options;
  for (std::size_t i = 0; i < arguments.size(); i += 2) {
    const std::string argument(arguments[i]);
    const bool enables = argument == "--enable";
    if ((!enables && argument != "--disable") || i + 1 == arguments.size()) {
      return Error{ErrorId::kInputField, argument, "expected --enable NAME[,NAME] or --disable NAME[,NAME]"};
    }
    std::string_view names = arguments[i + 1];
    while (!names.empty()) {
      const std::size_t end = names.find(',');
      const std::string_view name = names.substr(0, end);
      names = end == std::string_view::npos ? std::string_view{} : names.substr(end + 1);
      const std::optional<CellFeature> feature = FromString<CellFeature>(name);
      if (!feature) {
        return Error{
            ErrorId::kInputField, argument,
            fmt::format("unknown feature {}; known are {}", name, fmt::join(EnumNames<CellFeature>::kNames, ", "))};
      }
      if (enables) {
        options.disabled.erase(*feature);
      } else {
        options.disabled.insert(*feature);
      }
    }
  }
  return options;
}

}  // namespace jaymast
