#include "decide/eviction.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace boragehill::decide {

namespace {

/// Added to the cost of a candidate with a negative keep-warm time. Exceeds any
/// sum of reload times, so that such a candidate is evicted last.
constexpr double pinned_cost_ms = 1e12;

struct ranked_candidate {
  const eviction_candidate* candidate;
  double cost_ms;
};

bool is_cheaper(const ranked_candidate& left, const ranked_candidate& right) {
  if (left.cost_ms != right.cost_ms) return left.cost_ms < right.cost_ms;
  return left.candidate->name < right.candidate->name;
}

std::vector<ranked_candidate> rank_by_cost(
    const std::vector<eviction_candidate>& candidates, time_point now) {
  std::vector<ranked_candidate> ranked;
  ranked.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    ranked.push_back({&candidate, expected_eviction_cost_ms(candidate, now)});
  }
  std::sort(ranked.begin(), ranked.end(), is_cheaper);
  return ranked;
}

}  // namespace

double expected_eviction_cost_ms(const eviction_candidate& candidate,
                                 time_point now) {
  const auto reload = static_cast<double>(candidate.reload.count());
  if (candidate.keep_warm < milliseconds(0)) return pinned_cost_ms + reload;
  const auto keep_warm = std::max(candidate.keep_warm, milliseconds(1));
  const std::chrono::duration<double, std::milli> idle =
      std::max(now - candidate.last_used, time_point::duration(0));
  return reload *
         std::exp(-idle.count() / static_cast<double>(keep_warm.count()));
}

std::optional<std::string> choose_eviction(
    const std::vector<eviction_candidate>& candidates, std::uint64_t needed,
    time_point now) {
  const std::vector<ranked_candidate> ranked = rank_by_cost(candidates, now);
  const auto single = std::find_if(ranked.begin(), ranked.end(),
                                   [needed](const ranked_candidate& item) {
                                     return item.candidate->bytes >= needed;
                                   });
  std::uint64_t freed = 0;
  double total_cost_ms = 0;
  for (const ranked_candidate& item : ranked) {
    freed += item.candidate->bytes;
    total_cost_ms += item.cost_ms;
    if (freed >= needed) break;
  }
  if (freed < needed) return std::nullopt;
  if (single != ranked.end() && single->cost_ms <= total_cost_ms) {
    return single->candidate->name;
  }
  return ranked.front().candidate->name;
}

}  // namespace boragehill::decide
