#include "decide/rendezvous.hpp"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace boragehill::decide {

std::uint64_t rendezvous_weight(std::string_view node,
                                std::string_view target) {
  // Seeding with the node's hash instead of hashing the concatenated names
  // keeps pairs such as ("a", "bc") and ("ab", "c") apart.
  const std::uint64_t seed = XXH64(node.data(), node.size(), 0);
  return XXH64(target.data(), target.size(), seed);
}

std::vector<std::string> rank_homes(std::string_view target,
                                    std::vector<std::string> routers,
                                    std::size_t count) {
  std::vector<std::pair<std::uint64_t, std::string>> weighted;
  weighted.reserve(routers.size());
  for (std::string& router : routers) {
    const std::uint64_t weight = rendezvous_weight(router, target);
    weighted.emplace_back(weight, std::move(router));
  }
  const std::size_t kept = std::min(count, weighted.size());
  const auto end_of_kept = weighted.begin() + static_cast<std::ptrdiff_t>(kept);
  std::partial_sort(weighted.begin(), end_of_kept, weighted.end(),
                    std::greater{});
  std::vector<std::string> ranked;
  ranked.reserve(kept);
  for (std::size_t i = 0; i < kept; ++i) {
    ranked.push_back(std::move(weighted[i].second));
  }
  return ranked;
}

}  // namespace boragehill::decide
