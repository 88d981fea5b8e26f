#include "base/field_reader.h"

#include <fmt/format.h>

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <utility>

namespace jaymast {

FieldReader::FieldReader(const boost::json::object& object, std::string path)
    : m_object(object), m_path(std::move(path)) {}

const boost::json::value* FieldReader::Find(std::string_view name) {
  m_read.emplace(name);
  return m_object.if_contains(name);
}

void FieldReader::Fail(std::string_view name, std::string reason) {
  if (m_error) return;
  m_error = Error{ErrorId::kInputField, m_path + "/" + std::string(name), std::move(reason)};
}

std::string FieldReader::String(std::string_view name, std::string_view fallback, std::size_t max_length) {
  const boost::json::value* value = Find(name);
  if (value == nullptr) return std::string(fallback);
  if (!value->is_string()) {
    Fail(name, "expected a string");
    return std::string(fallback);
  }
  if (value->get_string().size() > max_length) {
    Fail(name, fmt::format("longer than {} bytes", max_length));
    return std::string(fallback);
  }
  return std::string(value->get_string());
}

std::string FieldReader::RequiredString(std::string_view name, std::size_t max_length) {
  std::string text = String(name, "", max_length);
  if (text.empty()) Fail(name, "required and not empty");
  return text;
}

std::int64_t FieldReader::Int(std::string_view name, std::int64_t fallback, std::int64_t min, std::int64_t max) {
  const boost::json::value* value = Find(name);
  if (value == nullptr) return fallback;
  boost::system::error_code ec;
  const auto number = value->to_number<std::int64_t>(ec);
  if (ec || number < min || number > max) {
    Fail(name, fmt::format("expected a whole number from {} to {}", min, max));
    return fallback;
  }
  return number;
}

bool FieldReader::Bool(std::string_view name, bool fallback) {
  const boost::json::value* value = Find(name);
  if (value == nullptr) return fallback;
  if (!value->is_bool()) {
    Fail(name, "expected true or false");
    return fallback;
  }
  return value->get_bool();
}

const boost::json::object* FieldReader::Object(std::string_view name) {
  const boost::json::value* value = Find(name);
  if (value == nullptr) return nullptr;
  if (!value->is_object()) Fail(name, "expected an object");
  return value->if_object();
}

const boost::json::array* FieldReader::Array(std::string_view name) {
  const boost::json::value* value = Find(name);
  if (value == nullptr) return nullptr;
  if (!value->is_array()) Fail(name, "expected an array");
  return value->if_array();
}

void FieldReader::RejectUnknown() {
  for (const auto& field : m_object) {
    if (m_read.find(std::string_view(field.key())) == m_read.end()) Fail(field.key(), "unknown field");
  }
}

}  // namespace jaymast
