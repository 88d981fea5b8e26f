#pragma once

#include <optional>
#include <utility>

#include "base/error.h"

namespace jaymast {

/// A value, or the error that explains its absence.
template <typename T>
class Result {
 public:
  Result(T value) : m_value(std::move(value)) {}      // NOLINT(google-explicit-constructor)
  Result(Error error) : m_error(std::move(error)) {}  // NOLINT(google-explicit-constructor)

  bool has_value() const { return m_value.has_value(); }
  explicit operator bool() const { return has_value(); }
  T& value() { return *m_value; }
  const T& value() const { return *m_value; }
  T& operator*() { return *m_value; }
  const T& operator*() const { return *m_value; }
  T* operator->() { return &*m_value; }
  const T* operator->() const { return &*m_value; }
  const Error& error() const { return m_error; }

 private:
  std::optional<T> m_value;
  Error m_error;
};

}  // namespace jaymast
