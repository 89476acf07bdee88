#include "fault_checkers.hpp"

#include <gtest/gtest.h>

#include "world.hpp"

namespace boragehill::fault {
namespace {

/// Returns whether a broken decision makes a checker fire in some cell with the
/// fault at the n-th time of its step.
bool fires(breakage broken, const std::string& checker, int nth) {
  for (std::size_t row = 0; row < step_names.size(); ++row) {
    for (std::size_t column = 0; column < trouble_names.size(); ++column) {
      world cell(broken);
      cell.arm(static_cast<step>(row), {static_cast<trouble>(column)}, nth);
      cell.run();
      if (cell.seen.violations.contains(checker)) return true;
    }
  }
  return false;
}

struct broken_case {
  breakage broken;
  const char* checker;
};

class fault_checkers_test : public testing::TestWithParam<broken_case> {};

TEST_P(fault_checkers_test, fire_when_the_decision_is_broken) {
  const auto [broken, checker] = this->GetParam();
  const bool fired = fires(broken, checker, 1) || fires(broken, checker, 2) ||
                     fires(broken, checker, 4);
  EXPECT_TRUE(fired) << checker;
}

INSTANTIATE_TEST_SUITE_P(
    every_checker, fault_checkers_test,
    testing::Values(broken_case{breakage::retry_after_broken_send, "once"},
                    broken_case{breakage::run_offers_again, "attempts"},
                    broken_case{breakage::answer_unload_early, "memory"},
                    broken_case{breakage::take_grant_unasked, "grants"},
                    broken_case{breakage::say_never_ran, "truth"},
                    broken_case{breakage::ignore_deadline, "deadline"},
                    broken_case{breakage::swap_answers, "answers"},
                    broken_case{breakage::ignore_leaving, "leaving"},
                    broken_case{breakage::apply_any_revision, "revisions"},
                    broken_case{breakage::publish_unguarded, "publishes"},
                    broken_case{breakage::cut_at_stop, "stop"},
                    broken_case{breakage::convict_all_in_flight, "poison"},
                    broken_case{breakage::call_all_never_ran, "tombstones"},
                    broken_case{breakage::ignore_catalog, "spread"},
                    broken_case{breakage::forget_wakes, "recovery"}),
    [](const auto& info) { return std::string(info.param.checker); });

}  // namespace
}  // namespace boragehill::fault
