#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace jaymast {

/// State of the fake object store: bytes by name, up to a bound of the total size.
class ObjectStore {
 public:
  explicit ObjectStore(std::size_t max_bytes) : m_max_bytes(max_bytes) {}

  /// Stores or replaces an object.
  /// @return false, without any change, when the total size would exceed the bound
  bool Put(const std::string& name, std::string bytes) {
    const auto old = m_objects.find(name);
    const std::size_t old_size = old == m_objects.end() ? 0 : old->second.size();
    const std::size_t size = m_bytes - old_size + bytes.size();
    if (size > m_max_bytes) return false;
    m_bytes = size;
    m_objects[name] = std::move(bytes);
    return true;
  }

  std::optional<std::string> Get(const std::string& name) const {
    const auto object = m_objects.find(name);
    if (object == m_objects.end()) return std::nullopt;
    return object->second;
  }

  /// Removes an object. An unknown name is not an error.
  void Delete(const std::string& name) {
    const auto object = m_objects.find(name);
    if (object == m_objects.end()) return;
    m_bytes -= object->second.size();
    m_objects.erase(object);
  }

  std::size_t bytes() const { return m_bytes; }

 private:
  std::size_t m_max_bytes;
  std::size_t m_bytes = 0;
  std::map<std::string, std::string> m_objects;
};

}  // namespace jaymast
