#include "load/answer_check.h"

#include <fmt/format.h>

#include "base/enum_names.h"
#include "base/hash.h"

namespace jaymast {

std::string MakeBody(std::string_view run, WorkStream stream, std::size_t number, std::int64_t run_ms,
                     std::int64_t padding_bytes) {
  const std::string padding(static_cast<std::size_t>(padding_bytes), 'x');
  return fmt::format(R"({{"run_ms":{},"request":"{}-{}-{}","padding":"{}"}})", run_ms, run, ToString(stream), number,
                     padding);
}

bool IsOwnWholeOutput(std::string_view output, std::string_view body) {
  const std::string head = Sha256Hex(body) + ":";
  const std::string tail = ":" + std::string(body);
  if (output.size() <= head.size() + tail.size()) return false;
  const std::string_view task = output.substr(head.size(), output.size() - head.size() - tail.size());
  return output.starts_with(head) && output.ends_with(tail) && task.find(':') == std::string_view::npos;
}

}  // namespace jaymast
