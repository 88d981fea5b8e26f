#include "jobs/cell_config.h"

namespace jaymast {

const QueueConfig* CellConfig::FindQueue(std::string_view host, std::string_view path) const {
  const QueueConfig* best = nullptr;
  for (const QueueConfig& queue : queues) {
    if (queue.host != host || !path.starts_with(queue.prefix)) continue;
    if (best == nullptr || queue.prefix.size() > best->prefix.size()) best = &queue;
  }
  return best;
}

}  // namespace jaymast
