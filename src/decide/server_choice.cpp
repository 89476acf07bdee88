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

double cost_of(const server_candidate& server) {
  const double requests = server.own_requests + server.other_requests;
  double cost = requests / server.slots +
                server.prompt_backlog_tokens / tokens_per_full_load;
  if (!server.local) cost += cross_domain_cost;
  if (server.suspected) cost += suspected_cost;
  return cost;
}

bool is_full(const server_candidate& server, double queue_share,
             int max_backlog_tokens) {
  if (server.prompt_backlog_tokens > max_backlog_tokens) return true;
  const double capacity = server.slots * (1 + queue_share);
  return server.own_requests + server.other_requests >= capacity;
}

}  // namespace

std::optional<std::size_t> choose_server(
    const std::vector<server_candidate>& candidates, double queue_share,
    int max_backlog_tokens, std::uint64_t random) {
  std::optional<std::size_t> best;
  double best_cost = 0;
  const std::size_t count = candidates.size();
  for (std::size_t step = 0; step < count; ++step) {
    const std::size_t index = (step + random % count) % count;
    const auto& server = candidates[index];
    if (server.slots <= 0 || is_full(server, queue_share, max_backlog_tokens)) {
      continue;
    }
    const double cost = cost_of(server);
    if (best && cost >= best_cost) continue;
    best = index;
    best_cost = cost;
  }
  return best;
}

}  // namespace boragehill::decide
