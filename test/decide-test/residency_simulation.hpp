#ifndef BORAGEHILL_TEST_RESIDENCY_SIMULATION_HPP
#define BORAGEHILL_TEST_RESIDENCY_SIMULATION_HPP

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boragehill/engine_state.hpp>
#include <boragehill/model_ref.hpp>
#include <boragehill/server_record.hpp>

#include "decide/residency_action.hpp"
#include "decide/residency_load_request.hpp"
#include "invariants/loads_only_under_grant.hpp"
#include "invariants/memory_never_overcommitted.hpp"
#include "invariants/one_order_at_a_time.hpp"

namespace boragehill::decide {

/// The first failure of each checker, and counts of what the run covered.
struct residency_check_result {
  testing::AssertionResult memory = testing::AssertionSuccess();
  testing::AssertionResult grants = testing::AssertionSuccess();
  testing::AssertionResult orders = testing::AssertionSuccess();
  int loads = 0;
  int restarts = 0;
};

/// Simulates one server in virtual time with random faults.
///
/// The engine does not check fencing numbers, and the home removes given-up
/// grants from the table. Orders are delayed, responses lost, and the engine
/// and the agent restarted.
template <class Residency>
class residency_simulation {
 public:
  using agent_factory = std::function<std::unique_ptr<Residency>(time_point)>;

  residency_simulation(std::uint32_t seed, milliseconds max_order_delivery,
                       agent_factory make_agent)
      : random(seed),
        max_order_delivery(max_order_delivery),
        make_agent(make_agent) {
    this->start_agent();
  }

  residency_check_result run(int steps) {
    for (int step = 0; step < steps; ++step) {
      this->now += milliseconds(100);
      this->deliver_orders();
      this->inject_random_events();
      this->agent->tick(this->now);
      this->run_actions();
      this->check();
    }
    return this->result;
  }

 private:
  static constexpr std::uint64_t capacity = 100;

  struct loaded_model {
    std::uint64_t bytes;
    time_point ready_at;
  };
  struct order_in_flight {
    engine_order order;
    std::uint64_t agent_fence;
    time_point arrives_at;
    std::optional<time_point> done_at;
    bool response_lost;
    bool responded = false;
  };

  bool chance(int percent) {
    return static_cast<int>(this->random() % 100) < percent;
  }

  milliseconds random_time_below(milliseconds limit) {
    return milliseconds(this->random() % limit.count());
  }

  void start_agent() {
    ++this->fence;
    this->agent = this->make_agent(this->now);
    this->agent->on_fence_taken(this->fence, this->now);
    this->run_actions();
  }

  void inject_random_events() {
    const std::string model(1, static_cast<char>('a' + this->random() % 5));
    const std::uint64_t bytes = 20 + 10 * (model[0] - 'a');
    if (this->chance(8)) {
      this->granted_bytes.emplace(model, bytes);
      this->agent->on_grants_hint(this->now);
    }
    if (this->chance(20)) {
      this->agent->on_load_request({.model = model,
                                    .adapter = this->chance(40) ? "x" : "",
                                    .bytes = bytes,
                                    .adapter_bytes = 10,
                                    .keep_warm = milliseconds(2000)},
                                   this->now);
    }
    if (this->chance(4)) this->agent->on_retire(model, this->now);
    if (this->chance(10)) this->remove_given_up_grants();
    if (this->chance(1)) this->restart_engine();
    if (this->chance(1)) {
      ++this->result.restarts;
      this->start_agent();
    }
  }

  /// Removes the grants that the current agent process gave up, as a home does.
  /// Called at random times, as acknowledgements arrive late.
  void remove_given_up_grants() {
    for (const auto& [model, serial] : this->agent->given_up()) {
      this->granted_bytes.erase(model);
    }
  }

  void restart_engine() {
    this->loaded.clear();
    ++this->engine_starts;
    for (auto& entry : this->in_flight) {
      if (entry.arrives_at <= this->now) entry.response_lost = true;
      if (entry.arrives_at <= this->now) entry.done_at = this->now;
    }
  }

  void deliver_orders() {
    for (std::size_t i = 0; i < this->in_flight.size(); ++i) {
      auto& entry = this->in_flight[i];
      if (!entry.done_at && this->now >= entry.arrives_at) this->execute(entry);
      this->respond(i);
    }
    std::erase_if(this->in_flight, [&](const order_in_flight& item) {
      return item.done_at && this->now >= *item.done_at && item.responded;
    });
  }

  void execute(order_in_flight& entry) {
    const auto& order = entry.order;
    entry.done_at = this->now + this->random_time_below(milliseconds(900));
    if (order.kind == order_kind::unload) {
      this->loaded.erase(order.model);
      return;
    }
    this->loaded.try_emplace(order.model,
                             loaded_model{order.bytes, *entry.done_at});
  }

  void respond(std::size_t index) {
    order_in_flight& entry = this->in_flight[index];
    if (entry.responded) return;
    const bool known = entry.done_at && this->now >= *entry.done_at;
    if (!known && !entry.response_lost) return;
    entry.responded = true;
    if (entry.agent_fence != this->fence) return;
    const auto order = entry.order;
    const auto error = entry.response_lost
                           ? make_error_code(result_code::order_unknown)
                           : std::error_code{};
    this->agent->on_order_done(order, error, this->now);
    this->run_actions();
  }

  engine_state state() const {
    engine_state state{.incarnation = std::to_string(this->engine_starts),
                       .capacity_bytes = capacity,
                       .slots = 4};
    for (const auto& [name, model] : this->loaded) {
      const bool ready = this->now >= model.ready_at;
      state.models.push_back({.name = name,
                              .state = ready ? engine_model_state::ready
                                             : engine_model_state::loading,
                              .bytes = model.bytes});
    }
    return state;
  }

  server_record record() const {
    server_record record{.id = "s1", .fence = this->fence};
    for (const auto& [model, bytes] : this->granted_bytes) {
      record.grants.push_back({model, bytes});
    }
    return record;
  }

  void run_actions() {
    for (auto actions = this->agent->take_actions(); !actions.empty();
         actions = this->agent->take_actions()) {
      for (const auto& action : actions) this->run_action(action);
    }
  }

  void run_action(const residency_action& action) {
    if (const auto* sent = std::get_if<send_order>(&action)) {
      return this->send(sent->order);
    }
    if (std::holds_alternative<read_engine_state>(action)) {
      if (this->chance(5)) {
        return this->agent->on_engine_unresponsive(this->now);
      }
      return this->agent->on_engine_state(this->state(), this->now);
    }
    if (std::holds_alternative<read_grants>(action)) {
      this->agent->on_grants(this->record(), this->now + milliseconds(1),
                             this->now + milliseconds(1));
    }
  }

  void send(const engine_order& order) {
    if (order.kind == order_kind::load) ++this->result.loads;
    std::set<std::string> granted;
    for (const auto& [model, bytes] : this->granted_bytes) {
      granted.insert(model);
    }
    for (const auto& [model, serial] : this->agent->given_up()) {
      granted.erase(model);
    }
    this->record_failure(this->result.grants,
                         invariants::loads_only_under_grant(order, granted));
    this->in_flight.push_back(
        {.order = order,
         .agent_fence = this->fence,
         .arrives_at =
             this->now + this->random_time_below(this->max_order_delivery),
         .response_lost = this->chance(15)});
    const auto pending = std::count_if(
        this->in_flight.begin(), this->in_flight.end(), [&](const auto& item) {
          return item.agent_fence == this->fence && !item.responded;
        });
    this->record_failure(this->result.orders,
                         invariants::one_order_at_a_time(pending));
  }

  void check() {
    std::uint64_t loaded_bytes = 0;
    for (const auto& [name, model] : this->loaded) {
      loaded_bytes += model.bytes;
      // A loaded model counts as a replica, so the table must contain its
      // grant.
      this->record_failure(this->result.grants,
                           invariants::loads_only_under_grant(
                               {.kind = order_kind::load, .model = name},
                               this->granted_in_table()));
    }
    this->record_failure(
        this->result.memory,
        invariants::memory_never_overcommitted(
            capacity, this->agent->ledger().reserved(), loaded_bytes));
  }

  std::set<std::string> granted_in_table() const {
    std::set<std::string> models;
    for (const auto& [model, bytes] : this->granted_bytes) models.insert(model);
    return models;
  }

  static void record_failure(testing::AssertionResult& first_failure,
                             const testing::AssertionResult& outcome) {
    if (first_failure && !outcome) first_failure = outcome;
  }

  std::mt19937_64 random;
  milliseconds max_order_delivery;
  agent_factory make_agent;
  time_point now{};
  std::uint64_t fence = 0;
  int engine_starts = 1;
  std::unique_ptr<Residency> agent;
  std::map<std::string, std::uint64_t> granted_bytes;
  std::map<std::string, loaded_model> loaded;
  std::vector<order_in_flight> in_flight;
  residency_check_result result;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_TEST_RESIDENCY_SIMULATION_HPP
