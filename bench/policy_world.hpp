#ifndef BORAGEHILL_BENCH_POLICY_WORLD_HPP
#define BORAGEHILL_BENCH_POLICY_WORLD_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include <boragehill/time_point.hpp>

#include "arrivals.hpp"
#include "decide/keep_warm.hpp"
#include "decide/store_load_scheduler.hpp"
#include "policy_choice.hpp"
#include "policy_outcome.hpp"
#include "policy_worker.hpp"

namespace boragehill::bench {

/// Drives the product's decisions with arrivals on virtual time.
///
/// It knows models, workers, the weight store's slots and the table's
/// latency; no processes, messages or slots of requests: the waits that it
/// measures are those for loads alone.
class policy_world {
 public:
  /// \param scale The deployment.
  /// \param choice The decisions to take.
  /// \param faults What the platform does.
  /// \param seed Draws what is cached where at first, and random placement.
  policy_world(policy_scale scale, policy_choice choice, policy_faults faults,
               std::uint64_t seed);

  /// Runs all arrivals to their end; called once.
  policy_outcome run(const std::vector<arrival>& arrivals);

 private:
  struct model_state {
    std::vector<std::size_t> grants;
    std::deque<arrival> waiting;
    decide::gap_histogram gaps;
    milliseconds last_end{-1};
    std::uint32_t wakes = 0;
  };
  struct event {
    milliseconds at;
    std::uint64_t order;
    std::function<void()> act;
  };
  struct later {
    bool operator()(const event& a, const event& b) const {
      return std::pair(a.at, a.order) > std::pair(b.at, b.order);
    }
  };
  using place = std::pair<std::size_t, std::size_t>;

  void cache_unevenly();
  void place_grants();
  std::vector<std::size_t> choose_grants(std::size_t model);

  void schedule(milliseconds at, std::function<void()> act);
  void on_arrival(const arrival& request);
  bool run_where_ready(const arrival& request);
  void begin_run(std::size_t worker, const arrival& request);
  void end_run(std::size_t worker, std::size_t model);
  void unload_if_over(std::size_t worker, std::size_t model,
                      std::uint64_t number);
  void unload(std::size_t worker, std::size_t model);

  void decide_wake(std::size_t model);
  void wake(std::size_t model);
  bool begin_load(std::size_t worker, std::size_t model);
  bool make_room(std::size_t worker);
  void ask_store(std::size_t worker, std::size_t model);
  void pump_store();
  void fetch(std::size_t worker, std::size_t model);
  void finish_load(std::size_t worker, std::size_t model);
  void serve_waiting(std::size_t worker, std::size_t model);
  void give_up(std::size_t model);
  void retry_blocked();

  milliseconds load_time(checkpoint_tier tier) const;
  milliseconds transfer_time() const;
  milliseconds earliest_deadline(std::size_t model) const;
  void note_cold(milliseconds wait, bool missed);
  double quantile_of_all(const std::vector<milliseconds>& cold,
                         double share) const;
  policy_outcome summarize() const;

  policy_scale scale;
  policy_choice choice;
  policy_faults faults;
  std::mt19937_64 random;
  std::vector<policy_worker> workers;
  std::vector<model_state> models;
  decide::store_load_scheduler pacing;
  std::deque<place> first_come;
  std::set<place> fetching;
  /// Models whose wake found no room; tried again when a run or load ends.
  std::set<std::size_t> blocked;
  std::priority_queue<event, std::vector<event>, later> events;
  milliseconds now{0};
  std::uint64_t order = 0;
  std::uint64_t replica_number = 0;
  std::vector<milliseconds> cold_waits;
  milliseconds idle{0};
  policy_outcome counted;
};

}  // namespace boragehill::bench

#endif  // BORAGEHILL_BENCH_POLICY_WORLD_HPP
