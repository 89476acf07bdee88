#include "decide/server_choice.hpp"

namespace boragehill::decide {

namespace {

/// Processing this many prompt tokens takes a worker about 50 ms, in which all
/// its streams pause; it counts like all its slots being taken.
constexpr double tokens_per_full_load = 2000;
/// Sending a request to another failure domain costs about as much as this
/// fraction of a server's slots being taken.
constexpr double cross_domain_cost = 0.03;
/// Above the cost of any load, so that a suspected server is chosen only if all
/// others are full.
constexpr double suspected_cost = 1000;

double cost_of(const server_candidate& each) {
  const double taken = each.own_requests + each.other_requests;
  double cost =
      taken / each.slots + each.prompt_backlog_tokens / tokens_per_full_load;
  if (!each.local) cost += cross_domain_cost;
  if (each.suspected) cost += suspected_cost;
  return cost;
}

bool is_full(const server_candidate& each, double queue_share,
             int most_unread) {
  if (each.prompt_backlog_tokens > most_unread) return true;
  const double room = each.slots * (1 + queue_share);
  return each.own_requests + each.other_requests >= room;
}

}  // namespace

std::optional<std::size_t> choose_server(
    const std::vector<server_candidate>& candidates, double queue_share,
    int most_unread, std::uint64_t random) {
  std::optional<std::size_t> best;
  double best_cost = 0;
  const std::size_t count = candidates.size();
  for (std::size_t step = 0; step < count; ++step) {
    const std::size_t index = (step + random % count) % count;
    const auto& each = candidates[index];
    if (each.slots <= 0 || is_full(each, queue_share, most_unread)) continue;
    const double cost = cost_of(each);
    if (best && cost >= best_cost) continue;
    best = index;
    best_cost = cost;
  }
  return best;
}

}  // namespace boragehill::decide
