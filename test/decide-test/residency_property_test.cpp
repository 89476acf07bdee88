#include <gtest/gtest.h>

#include "decide/residency.hpp"
#include "residency_simulation.hpp"

namespace boragehill::decide {
namespace {

constexpr milliseconds longest_delivery{1500};
constexpr int steps = 1500;

residency_settings settings_with(milliseconds wait_out) {
  return {.engine_checks_fence = false,
          .max_order_delivery = wait_out,
          .state_poll_interval = milliseconds(300),
          .grants_poll_interval = milliseconds(2000),
          .unused_protection = milliseconds(500)};
}

residency_check_result play(std::uint32_t seed, milliseconds wait_out) {
  residency_simulation<residency> world(
      seed, longest_delivery, [wait_out](time_point now) {
        return std::make_unique<residency>(settings_with(wait_out), now);
      });
  return world.run(steps);
}

class residency_property_test : public testing::TestWithParam<std::uint32_t> {};

TEST_P(residency_property_test, keeps_memory_grants_and_order_of_orders) {
  const auto verdict = play(this->GetParam(), longest_delivery);
  EXPECT_GT(verdict.loads, 10);
  EXPECT_TRUE(verdict.memory);
  EXPECT_TRUE(verdict.grants);
  EXPECT_TRUE(verdict.orders);
}

INSTANTIATE_TEST_SUITE_P(seeds, residency_property_test,
                         testing::Range(1U, 101U));

/// Orders every requested load at once, without any check.
class unchecked_residency {
 public:
  void on_fence_taken(std::uint64_t, time_point) {}
  void on_engine_state(const engine_state&, time_point) {}
  void on_engine_unresponsive(time_point) {}
  void on_grants(const server_record&, time_point, time_point) {}
  void on_grants_hint(time_point) {}
  void on_retire(const std::string& model, time_point) {
    this->given.emplace(model, 0);
  }
  void on_order_done(const engine_order&, std::error_code, time_point) {}
  void tick(time_point) {}
  void on_load_request(const residency_load_request& wake, time_point) {
    this->actions.emplace_back(
        send_order{{.model = wake.model, .bytes = wake.bytes}});
  }
  std::vector<residency_action> take_actions() {
    return std::exchange(this->actions, {});
  }
  const std::map<std::string, std::uint64_t>& given_up() const {
    return this->given;
  }
  const memory_ledger& ledger() const { return this->memory; }

 private:
  std::map<std::string, std::uint64_t> given;
  std::vector<residency_action> actions;
  memory_ledger memory{100};
};

TEST(residency_checker_test, each_one_fires_on_a_hasty_decision) {
  residency_simulation<unchecked_residency> world(
      1, longest_delivery,
      [](time_point) { return std::make_unique<unchecked_residency>(); });
  const auto verdict = world.run(steps);
  EXPECT_FALSE(verdict.memory);
  EXPECT_FALSE(verdict.grants);
  EXPECT_FALSE(verdict.orders);
}

// An agent restarts while a load of its earlier process is in transit, and does
// not wait for the maximum delivery time. The old load then arrives on top of
// its own loads and overcommits the memory, which the checker must detect.
TEST(residency_checker_test, memory_fires_when_old_orders_are_not_waited_out) {
  bool fired = false;
  for (std::uint32_t seed = 1; seed <= 100 && !fired; ++seed) {
    fired = !play(seed, milliseconds(0)).memory;
  }
  EXPECT_TRUE(fired);
}

}  // namespace
}  // namespace boragehill::decide
