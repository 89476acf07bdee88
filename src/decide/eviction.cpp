#include "decide/eviction.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace boragehill::decide {

namespace {

/// Added to the cost of a candidate with a negative keep-warm time. Exceeds any
/// sum of reload times, so that such a candidate is evicted last.
constexpr double pinned_loss = 1e12;

struct weighed {
  const eviction_candidate* candidate;
  double loss;
};

bool cheaper(const weighed& left, const weighed& right) {
  if (left.loss != right.loss) return left.loss < right.loss;
  return left.candidate->name < right.candidate->name;
}

std::vector<weighed> weigh(const std::vector<eviction_candidate>& candidates,
                           time_point now) {
  std::vector<weighed> list;
  list.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    list.push_back({&candidate, expected_loss(candidate, now)});
  }
  std::sort(list.begin(), list.end(), cheaper);
  return list;
}

}  // namespace

double expected_loss(const eviction_candidate& candidate, time_point now) {
  const auto reload = static_cast<double>(candidate.reload.count());
  if (candidate.keep_warm < milliseconds(0)) return pinned_loss + reload;
  const auto scale = std::max(candidate.keep_warm, milliseconds(1));
  const std::chrono::duration<double, std::milli> idle =
      std::max(now - candidate.last_used, time_point::duration(0));
  return reload * std::exp(-idle.count() / static_cast<double>(scale.count()));
}

std::optional<std::string> choose_victim(
    const std::vector<eviction_candidate>& candidates, std::uint64_t needed,
    time_point now) {
  const std::vector<weighed> list = weigh(candidates, now);
  const auto single =
      std::find_if(list.begin(), list.end(), [needed](const weighed& item) {
        return item.candidate->bytes >= needed;
      });
  std::uint64_t freed = 0;
  double loss = 0;
  for (const weighed& item : list) {
    freed += item.candidate->bytes;
    loss += item.loss;
    if (freed >= needed) break;
  }
  if (freed < needed) return std::nullopt;
  if (single != list.end() && single->loss <= loss) {
    return single->candidate->name;
  }
  return list.front().candidate->name;
}

}  // namespace boragehill::decide
