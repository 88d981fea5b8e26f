#include "standin_server/event_writer.h"

#include <iostream>

#include "runtime/event_codec.h"

namespace jaymast {

Result<std::unique_ptr<EventWriter>> EventWriter::Open(const std::string& target) {
  std::unique_ptr<EventWriter> writer(new EventWriter(&std::cout));
  if (target == "-") return writer;
  writer->m_file.open(target, std::ios::trunc);
  writer->m_out = &writer->m_file;
  if (!writer->m_file) return Error{ErrorId::kInputField, target, "cannot open the file for writing"};
  return writer;
}

void EventWriter::Write(const Event& event) {
  const std::string line = EncodeEvent(event) + "\n";
  const std::lock_guard lock(m_mutex);
  *m_out << line << std::flush;
}

}  // namespace jaymast
