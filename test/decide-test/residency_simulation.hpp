#ifndef BORAGEHILL_TEST_RESIDENCY_WORLD_HPP
#define BORAGEHILL_TEST_RESIDENCY_WORLD_HPP

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
template <class Decision>
class residency_simulation {
 public:
  using maker = std::function<std::unique_ptr<Decision>(time_point)>;

  residency_simulation(std::uint32_t seed, milliseconds longest_delivery,
                       maker make)
      : random(seed), longest_delivery(longest_delivery), make(make) {
    this->start_agent();
  }

  residency_check_result run(int steps) {
    for (int step = 0; step < steps; ++step) {
      this->now += milliseconds(100);
      this->deliver();
      this->something_happens();
      this->agent->tick(this->now);
      this->act();
      this->check();
    }
    return this->verdict;
  }

 private:
  static constexpr std::uint64_t capacity = 100;

  struct held_model {
    std::uint64_t bytes;
    time_point ready_at;
  };
  struct flying_order {
    engine_order order;
    std::uint64_t agent;
    time_point arrives;
    std::optional<time_point> done;
    bool answer_lost;
    bool answered = false;
  };

  bool chance(int percent) {
    return static_cast<int>(this->random() % 100) < percent;
  }

  milliseconds up_to(milliseconds most) {
    return milliseconds(this->random() % most.count());
  }

  void start_agent() {
    ++this->fence;
    this->agent = this->make(this->now);
    this->agent->on_fence_taken(this->fence, this->now);
    this->act();
  }

  void something_happens() {
    const std::string model(1, static_cast<char>('a' + this->random() % 5));
    const std::uint64_t bytes = 20 + 10 * (model[0] - 'a');
    if (this->chance(8)) {
      this->table.emplace(model, bytes);
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
    if (this->chance(10)) this->take_grants_back();
    if (this->chance(1)) this->restart_engine();
    if (this->chance(1)) {
      ++this->verdict.restarts;
      this->start_agent();
    }
  }

  /// The home processes acknowledgements, with a delay and only those of the
  /// current agent process.
  void take_grants_back() {
    for (const auto& [model, serial] : this->agent->given_up()) {
      this->table.erase(model);
    }
  }

  void restart_engine() {
    this->held.clear();
    ++this->engine_starts;
    for (auto& flying : this->flying) {
      if (flying.arrives <= this->now) flying.answer_lost = true;
      if (flying.arrives <= this->now) flying.done = this->now;
    }
  }

  void deliver() {
    for (std::size_t i = 0; i < this->flying.size(); ++i) {
      auto& flying = this->flying[i];
      if (!flying.done && this->now >= flying.arrives) this->arrive(flying);
      this->answer(i);
    }
    std::erase_if(this->flying, [&](const flying_order& item) {
      return item.done && this->now >= *item.done && item.answered;
    });
  }

  void arrive(flying_order& flying) {
    const auto& order = flying.order;
    flying.done = this->now + this->up_to(milliseconds(900));
    if (order.kind == order_kind::unload) {
      this->held.erase(order.model);
      return;
    }
    this->held.try_emplace(order.model, held_model{order.bytes, *flying.done});
  }

  void answer(std::size_t place) {
    flying_order& flying = this->flying[place];
    if (flying.answered) return;
    const bool known = flying.done && this->now >= *flying.done;
    if (!known && !flying.answer_lost) return;
    flying.answered = true;
    if (flying.agent != this->fence) return;
    const auto order = flying.order;
    const auto error = flying.answer_lost
                           ? make_error_code(result_code::order_unknown)
                           : std::error_code{};
    this->agent->on_order_done(order, error, this->now);
    this->act();
  }

  engine_state state() const {
    engine_state state{.incarnation = std::to_string(this->engine_starts),
                       .capacity_bytes = capacity,
                       .slots = 4};
    for (const auto& [name, model] : this->held) {
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
    for (const auto& [model, bytes] : this->table) {
      record.grants.push_back({model, bytes});
    }
    return record;
  }

  void act() {
    for (auto actions = this->agent->take_actions(); !actions.empty();
         actions = this->agent->take_actions()) {
      for (const auto& action : actions) this->act_on(action);
    }
  }

  void act_on(const residency_action& action) {
    if (const auto* sent = std::get_if<send_order>(&action)) {
      return this->send(sent->order);
    }
    if (std::holds_alternative<read_engine_state>(action)) {
      if (this->chance(5))
        return this->agent->on_engine_unresponsive(this->now);
      return this->agent->on_engine_state(this->state(), this->now);
    }
    if (std::holds_alternative<read_grants>(action)) {
      this->agent->on_grants(this->record(), this->now + milliseconds(1),
                             this->now + milliseconds(1));
    }
  }

  void send(const engine_order& order) {
    if (order.kind == order_kind::load) ++this->verdict.loads;
    std::set<std::string> granted;
    for (const auto& [model, bytes] : this->table) granted.insert(model);
    for (const auto& [model, serial] : this->agent->given_up()) {
      granted.erase(model);
    }
    this->note(this->verdict.grants,
               invariants::loads_only_under_grant(order, granted));
    this->flying.push_back(
        {.order = order,
         .agent = this->fence,
         .arrives = this->now + this->up_to(this->longest_delivery),
         .answer_lost = this->chance(15)});
    const auto under_way = std::count_if(
        this->flying.begin(), this->flying.end(), [&](const auto& item) {
          return item.agent == this->fence && !item.answered;
        });
    this->note(this->verdict.orders,
               invariants::one_order_at_a_time(under_way));
  }

  void check() {
    std::uint64_t sum = 0;
    for (const auto& [name, model] : this->held) {
      sum += model.bytes;
      // Every loaded model must still have its grant in the table.
      this->note(this->verdict.grants,
                 invariants::loads_only_under_grant(
                     {.kind = order_kind::load, .model = name},
                     this->granted_in_table()));
    }
    this->note(this->verdict.memory,
               invariants::memory_never_overcommitted(
                   capacity, this->agent->ledger().reserved(), sum));
  }

  std::set<std::string> granted_in_table() const {
    std::set<std::string> models;
    for (const auto& [model, bytes] : this->table) models.insert(model);
    return models;
  }

  static void note(testing::AssertionResult& kept,
                   const testing::AssertionResult& seen) {
    if (kept && !seen) kept = seen;
  }

  std::mt19937_64 random;
  milliseconds longest_delivery;
  maker make;
  time_point now{};
  std::uint64_t fence = 0;
  int engine_starts = 1;
  std::unique_ptr<Decision> agent;
  std::map<std::string, std::uint64_t> table;
  std::map<std::string, held_model> held;
  std::vector<flying_order> flying;
  residency_check_result verdict;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_TEST_RESIDENCY_WORLD_HPP
