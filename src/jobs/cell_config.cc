#include "jobs/cell_config.h"

#include <algorithm>

namespace jaymast {

const QueueConfig* CellConfig::FindQueue(std::string_view host, std::string_view path) const {
  const QueueConfig* best = nullptr;
  for (const QueueConfig& queue : queues) {
    if (queue.host != host || !path.starts_with(queue.prefix)) continue;
    if (best == nullptr || queue.prefix.size() > best->prefix.size()) best = &queue;
  }
  return best;
}

const QueueConfig* CellConfig::FindQueue(const QueueId& id) const {
  const auto found = std::find_if(queues.begin(), queues.end(), [&id](const auto& queue) { return queue.id == id; });
  return found == queues.end() ? nullptr : &*found;
}

}  // namespace jaymast
