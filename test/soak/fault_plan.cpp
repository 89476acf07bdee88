#include "soak/fault_plan.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace boragehill::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::array<const char*, fault_kinds> names{
    "router_kill",    "router_stop",     "router_pause",  "router_hangup",
    "agent_kill",     "agent_stop",      "agent_pause",   "worker_replace",
    "plain_replace",  "store_link",      "worker_link",   "store_down",
    "store_slow",     "store_lost",      "configuration", "store_silent",
    "worker_restart", "foreign_entry",   "worker_pause",  "plain_leaves",
    "plain_rests",    "store_thin",      "plain_limited", "worker_cuts",
    "plain_fails",    "all_routers_kill"};
constexpr std::array links{link_fault::delay, link_fault::reset,
                           link_fault::cut_requests, link_fault::cut_answers,
                           link_fault::silence};

class dice {
 public:
  explicit dice(std::uint64_t seed) : source(seed) {}

  /// \return A number from `low` to `high`, both included. Not by a
  ///     distribution of the library: these differ between its versions.
  int roll(int low, int high) {
    const int range = high - low + 1;
    const auto drawn = this->source() % static_cast<unsigned>(range);
    return low + static_cast<int>(drawn);
  }

 private:
  std::mt19937_64 source;
};

int most_targets(fault_kind kind, const fleet_size& size) {
  switch (kind) {
    case fault_kind::router_kill:
    case fault_kind::router_stop:
    case fault_kind::router_pause:
    case fault_kind::router_hangup:
      return size.routers;
    case fault_kind::plain_replace:
    case fault_kind::plain_leaves:
    case fault_kind::plain_rests:
    case fault_kind::plain_limited:
    case fault_kind::plain_fails:
      return size.plains;
    case fault_kind::agent_kill:
    case fault_kind::agent_stop:
    case fault_kind::agent_pause:
    case fault_kind::worker_replace:
    case fault_kind::worker_restart:
    case fault_kind::worker_pause:
    case fault_kind::worker_cuts:
      return size.workers;
    case fault_kind::worker_link:
      return size.workers + size.plains;
    default:
      return 1;
  }
}

}  // namespace

const char* name_of(fault_kind kind) {
  return names.at(static_cast<std::size_t>(kind));
}

std::vector<fault_step> draw_faults(std::uint64_t seed, milliseconds length,
                                    const fleet_size& size) {
  constexpr int shortest_pause = 20;
  constexpr int longest_pause = 900;
  constexpr int shortest_fault = 100;
  constexpr int longest_fault = 2500;
  dice source(seed);
  std::vector<fault_step> steps;
  milliseconds at(source.roll(shortest_pause, longest_pause));
  while (at < length) {
    fault_step step{
        .at = at,
        .kind = static_cast<fault_kind>(
            source.roll(size.first_kind, size.kinds - 1)),
        .lasts = milliseconds(source.roll(shortest_fault, longest_fault))};
    step.target = source.roll(1, most_targets(step.kind, size));
    step.link = links.at(
        static_cast<std::size_t>(source.roll(0, int(links.size()) - 1)));
    steps.push_back(step);
    at += milliseconds(source.roll(shortest_pause, longest_pause));
  }
  return steps;
}

}  // namespace boragehill::soak
