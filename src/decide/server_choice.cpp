#include "decide/server_choice.hpp"

#include <algorithm>

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

/// Changes by less than three requests aren't reported, at either of two
/// servers.
constexpr double max_view_error = 6;
/// With so many routers one request more or less is in doubt.
constexpr double routers_per_error = 8;

/// \return Uniformly distributed in [0, 1), another number for each index.
double random_fraction(std::uint64_t random, std::size_t index) {
  // The mixing function of splitmix64.
  std::uint64_t bits = random + 0x9e3779b97f4a7c15U * (index + 1);
  bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9U;
  bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebU;
  bits ^= bits >> 31U;
  constexpr double steps = 1U << 24U;
  return static_cast<double>(bits >> 40U) / steps;
}

/// How much of a server's load a request feels itself: a slow server that is
/// idle is as good as one of the usual speed with this load.
constexpr double own_request_load = 0.25;

/// The work of a server that may take a request, as a time.
struct level {
  std::size_t index = 0;
  double time = 0;
  /// Mean requests for which its time rises by one.
  double capacity = 0;
};

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
    int max_backlog_tokens, std::uint64_t random, double view_error) {
  std::optional<std::size_t> best;
  double best_cost = 0;
  const std::size_t count = candidates.size();
  for (std::size_t step = 0; step < count; ++step) {
    const std::size_t index = (step + random % count) % count;
    const auto& server = candidates[index];
    if (server.slots <= 0 || is_full(server, queue_share, max_backlog_tokens)) {
      continue;
    }
    const double cost = cost_of(server) + view_error / server.slots *
                                              random_fraction(random, index);
    if (best && cost >= best_cost) continue;
    best = index;
    best_cost = cost;
  }
  return best;
}

std::optional<std::size_t> choose_by_work(
    const std::vector<server_candidate>& candidates, double queue_share,
    int max_backlog_tokens, std::uint64_t random, double arrivals) {
  std::vector<level> levels;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const auto& server = candidates[index];
    if (server.slots <= 0 || is_full(server, queue_share, max_backlog_tokens)) {
      continue;
    }
    const double pace = server.pace > 0 ? server.pace : 1;
    const double backlog = server.prompt_backlog_tokens / tokens_per_full_load;
    double time = pace * (server.expected_work / server.slots + backlog);
    // The request itself takes longer there, too.
    time += pace * own_request_load;
    if (!server.local) time += cross_domain_cost;
    if (server.suspected) time += suspected_cost;
    levels.push_back(
        {.index = index, .time = time, .capacity = server.slots / pace});
  }
  if (levels.empty()) return std::nullopt;
  std::sort(levels.begin(), levels.end(),
            [](const level& one, const level& other) {
              return one.time < other.time;
            });
  // The highest level that the arrivals fill the servers up to.
  double capacity = 0;
  double filled = 0;
  double top = levels.front().time;
  std::size_t count = 0;
  while (count < levels.size()) {
    const auto& next = levels[count];
    const double needed = filled + (next.time - top) * capacity;
    if (count > 0 && needed >= arrivals) break;
    filled = needed;
    top = next.time;
    capacity += next.capacity;
    ++count;
  }
  top += std::max(arrivals - filled, 0.0) / capacity;
  const double drawn = random_fraction(random, 0);
  double left = drawn * std::max(arrivals, 0.0);
  for (std::size_t each = 0; each < count; ++each) {
    left -= (top - levels[each].time) * levels[each].capacity;
    if (left < 0) return levels[each].index;
  }
  return levels.front().index;
}

double view_error_of(int routers) {
  return std::min((routers - 1) / routers_per_error, max_view_error);
}

}  // namespace boragehill::decide
