// Chooses the owner of each upstream among the entries of a failure domain without an election, and shows that the loss
// of one entry moves only the upstreams that it owned.
#include <iostream>
#include <limits>
#include <string>
#include <vector>

#include "jaymast/jaymast.h"

namespace {

std::string OwnerOf(const std::string& upstream, const std::vector<std::string>& entries) {
  std::string best;
  double best_score = -std::numeric_limits<double>::infinity();
  for (const std::string& entry : entries) {
    const double score = jaymast::RendezvousScore(upstream, entry, 1.0);
    if (score <= best_score) continue;
    best = entry;
    best_score = score;
  }
  return best;
}

}  // namespace

int main() {
  const std::vector<std::string> all = {"entry-1", "entry-2", "entry-3"};
  const std::vector<std::string> without_2 = {"entry-1", "entry-3"};
  for (const char* upstream : {"u1", "u2", "u3", "u4", "u5", "u6"}) {
    const std::string before = OwnerOf(upstream, all);
    const std::string after = OwnerOf(upstream, without_2);
    const bool is_expected = before == "entry-2" || before == after;
    std::cout << upstream << ": " << before << " -> " << after << (is_expected ? "" : " (unexpected)") << "\n";
  }
}
