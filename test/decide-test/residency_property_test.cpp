#include <gtest/gtest.h>

#include "decide/residency.hpp"
#include "residency_simulation.hpp"

namespace boragehill::decide {
namespace {

constexpr milliseconds max_order_delivery{1500};
constexpr int steps = 1500;

residency_settings settings_with(milliseconds assumed_order_delivery) {
  return {.engine_checks_fence = false,
          .max_order_delivery = assumed_order_delivery,
          .state_poll_interval = milliseconds(300),
          .grants_poll_interval = milliseconds(2000),
          .unused_protection = milliseconds(500)};
}

residency_check_result run_simulation(std::uint32_t seed,
                                      milliseconds assumed_order_delivery) {
  residency_simulation<residency> simulation(
      seed, max_order_delivery, [assumed_order_delivery](time_point now) {
        return std::make_unique<residency>(
            settings_with(assumed_order_delivery), now);
      });
  return simulation.run(steps);
}

class residency_property_test : public testing::TestWithParam<std::uint32_t> {};

TEST_P(residency_property_test, holds_the_memory_grant_and_order_invariants) {
  const auto result = run_simulation(this->GetParam(), max_order_delivery);
  EXPECT_GT(result.loads, 10);
  EXPECT_TRUE(result.memory);
  EXPECT_TRUE(result.grants);
  EXPECT_TRUE(result.orders);
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
    this->given_up_serials.emplace(model, 0);
  }
  void on_order_done(const engine_order&, std::error_code, time_point) {}
  void tick(time_point) {}
  void on_load_request(const residency_load_request& request, time_point) {
    this->actions.emplace_back(
        send_order{{.model = request.model, .bytes = request.bytes}});
  }
  std::vector<residency_action> take_actions() {
    return std::exchange(this->actions, {});
  }
  const std::map<std::string, std::uint64_t>& given_up() const {
    return this->given_up_serials;
  }
  const memory_ledger& ledger() const { return this->memory; }

 private:
  std::map<std::string, std::uint64_t> given_up_serials;
  std::vector<residency_action> actions;
  memory_ledger memory{100};
};

TEST(residency_checker_test, every_checker_fails_without_checks_in_the_agent) {
  residency_simulation<unchecked_residency> simulation(
      1, max_order_delivery,
      [](time_point) { return std::make_unique<unchecked_residency>(); });
  const auto result = simulation.run(steps);
  EXPECT_FALSE(result.memory);
  EXPECT_FALSE(result.grants);
  EXPECT_FALSE(result.orders);
}

// An agent restarts while a load of its earlier process is in transit, and does
// not wait for the maximum delivery time. The old load then arrives on top of
// its own loads and overcommits the memory, which the checker must detect.
TEST(residency_checker_test,
     memory_checker_fails_when_old_orders_are_not_awaited) {
  bool is_detected = false;
  for (std::uint32_t seed = 1; seed <= 100 && !is_detected; ++seed) {
    is_detected = !run_simulation(seed, milliseconds(0)).memory;
  }
  EXPECT_TRUE(is_detected);
}

}  // namespace
}  // namespace boragehill::decide
