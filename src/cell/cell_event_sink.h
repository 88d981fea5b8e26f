#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace jaymast {

/// Fields of an event in the order in which they are written.
using EventFields = std::initializer_list<std::pair<std::string_view, std::string>>;

/// Receives one event for each decision of the cell. Event ids are stable and listed in docs/OPERATIONS.md.
class CellEventSink {
 public:
  virtual ~CellEventSink() = default;
  virtual void Emit(std::string_view event, EventFields fields) = 0;
};

}  // namespace jaymast
