#pragma once

#include <cstdio>
#include <mutex>
#include <string>

#include "http.h"

namespace review {

/// Writes what was sent, answered and run, with milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(std::fopen(path.c_str(), "w")) {}

  void Write(const std::string& line) {
    const std::lock_guard lock(m_mutex);
    if (m_file == nullptr) return;
    std::fprintf(m_file, "%8.3f %s\n", static_cast<double>(NowMs()) / 1000.0, line.c_str());
    std::fflush(m_file);
  }

  bool is_open() const { return m_file != nullptr; }

 private:
  std::mutex m_mutex;
  std::FILE* m_file;
};

}  // namespace review
