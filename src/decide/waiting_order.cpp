#include "decide/waiting_order.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>

#include "decide/wait_limit.hpp"

namespace boragehill::decide {

namespace {

/// A route's priority gains a step with each such part of the objective.
constexpr int objective_steps = 3;
/// A model takes about this long to load. A request that is due later loses
/// less if another model is loaded first.
constexpr milliseconds load_time{2000};
/// A late request may still be served, but its callers have lost most.
constexpr double late_weight = 0.25;

milliseconds waited(const waiting_candidate& candidate, time_point now) {
  return std::chrono::floor<milliseconds>(now - candidate.received);
}

time_point due(const waiting_candidate& candidate) {
  if (candidate.objective <= milliseconds(0)) return candidate.limit;
  return std::min(candidate.limit, candidate.received + candidate.objective);
}

int effective_priority(const waiting_candidate& candidate, time_point now) {
  if (candidate.objective <= milliseconds(0)) return candidate.rank.route;
  const auto steps = objective_steps * waited(candidate, now).count() /
                     candidate.objective.count();
  return std::max(candidate.rank.route - static_cast<int>(steps), 0);
}

struct account_state {
  bool is_starved = false;
  bool is_bursting = false;
};

}  // namespace

std::vector<std::size_t> waiting_order(
    const std::vector<waiting_candidate>& candidates,
    const account_shares& shares, time_point now) {
  std::map<std::string, account_state> states;
  for (const auto& each : candidates) {
    const auto [entry, is_new] = states.try_emplace(each.account);
    if (!is_new) continue;
    entry->second = {.is_starved = shares.is_starved(each.account, now),
                     .is_bursting = shares.is_bursting(each.account, now)};
  }
  using key = std::tuple<bool, bool, int, int, bool, time_point, time_point>;
  std::vector<key> keys;
  keys.reserve(candidates.size());
  for (const auto& each : candidates) {
    const auto& state = states[each.account];
    keys.emplace_back(is_late(waited(each, now), each.objective),
                      !state.is_starved, each.rank.account,
                      effective_priority(each, now), state.is_bursting,
                      due(each), each.received);
  }
  std::vector<std::size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), std::size_t(0));
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t one, std::size_t other) {
                     return keys[one] < keys[other];
                   });
  return order;
}

double waiting_weight(const waiting_candidate& candidate, time_point now) {
  const double rank = 1 + candidate.rank.account + candidate.rank.route;
  if (is_late(waited(candidate, now), candidate.objective)) {
    return late_weight / rank;
  }
  const auto left = std::max(due(candidate) - now, time_point::duration(0));
  const std::chrono::duration<double> seconds = left;
  const double load = seconds_of(load_time);
  return load / (load + seconds.count()) / rank;
}

}  // namespace boragehill::decide
