#include "cell/cell_options.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <string>

namespace jaymast {

Result<CellOptions> ParseDisabledFeatures(std::string_view names) {
  CellOptions options;
  while (!names.empty()) {
    const std::size_t end = names.find(',');
    const std::string_view name = names.substr(0, end);
    names = end == std::string_view::npos ? std::string_view{} : names.substr(end + 1);
    const std::optional<CellFeature> feature = FromString<CellFeature>(name);
    if (!feature) {
      return Error{
          ErrorId::kInputField, "--disable",
          fmt::format("unknown feature {}; known are {}", name, fmt::join(EnumNames<CellFeature>::kNames, ", "))};
    }
    options.disabled.insert(*feature);
  }
  return options;
}

}  // namespace jaymast
