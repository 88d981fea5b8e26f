#pragma once

#include <rapidcheck.h>

#include <boost/json.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace jaymast {

/// Changes, cuts, inserts or repeats some bytes of a valid input.
inline std::string MutatedBytes(std::string bytes) {
  constexpr std::size_t kMaxRepeated = 64;
  const auto changes = *rc::gen::inRange(1, 5);
  for (int i = 0; i < changes; ++i) {
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
    const auto count = *rc::gen::inRange<std::size_t>(0, kMaxRepeated);
    const auto byte = *rc::gen::arbitrary<char>();
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        bytes.resize(position);
        break;
      case 1:
        bytes.insert(position, 1, byte);
        break;
      case 2:
        bytes.insert(position, bytes.substr(position, count));
        break;
      case 3:
        bytes.erase(position, count);
        break;
      default:
        if (position < bytes.size()) bytes[position] = byte;
    }
  }
  return bytes;
}

/// A JSON value that decoders often get wrong: a limit of a type, another type, or deep nesting.
inline boost::json::value UnusualJson() {
  constexpr std::size_t kLongText = 10'000;
  constexpr int kDeepNesting = 31;  // with its parents on either side of the bound of ParseObject()
  boost::json::value nested = boost::json::array();
  for (int i = 0; i < kDeepNesting; ++i) nested = boost::json::array{nested};
  const boost::json::array values = {nullptr,
                                     true,
                                     0,
                                     -1,
                                     0.5,
                                     1e300,
                                     9'223'372'036'854'775'808.0,
                                     INT64_MAX,
                                     INT64_MAX - 1,
                                     INT64_MIN,
                                     UINT64_MAX,
                                     1'000'000'000'000,
                                     "",
                                     std::string_view("a\0b", 3),
                                     "\xc3\xa9\n\"\\/ ",
                                     boost::json::string(kLongText, 'x'),
                                     boost::json::array(),
                                     boost::json::object(),
                                     boost::json::array{1, "x", nullptr},
                                     nested};
  return values[*rc::gen::inRange<std::size_t>(0, values.size())];
}

/// Replaces, removes or adds a value at some depth of a JSON document.
inline void MutateJson(boost::json::value& value) {
  constexpr int kDescendInTen = 8;
  const bool descends = *rc::gen::inRange(0, 10) < kDescendInTen;
  if (auto* object = value.if_object(); object != nullptr && descends && !object->empty()) {
    auto* const field = object->begin() + *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(*object));
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        object->erase(field);
        return;
      case 1:
        object->emplace("unexpected", UnusualJson());
        return;
      default:
        return MutateJson(field->value());
    }
  }
  if (auto* array = value.if_array(); array != nullptr && descends && !array->empty()) {
    return MutateJson((*array)[*rc::gen::inRange<std::size_t>(0, array->size())]);
  }
  value = UnusualJson();
}

/// A valid JSON text with changed values or changed bytes.
inline std::string MutatedJson(const std::string& text) {
  if (*rc::gen::inRange(0, 4) == 0) return MutatedBytes(text);
  boost::json::value value = boost::json::parse(text);
  MutateJson(value);
  return boost::json::serialize(value);
}

}  // namespace jaymast
