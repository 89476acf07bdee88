#include <chrono>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "fleet-test/small_fleet.hpp"
#include "process-test/cpu_quota.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds deadline{4000};
/// A server holds a lookup so long, and its response is lost.
constexpr milliseconds held{800};
/// So much more time than is left may be handed on.
constexpr milliseconds slack{500};
constexpr int calls = 4;

/// Lookups that their first server holds and loses, so that each is sent once
/// more much later.
class time_left_test : public testing::Test {
 protected:
  static constexpr int plains = 3;

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    ASSERT_TRUE(this->fleet.wait_for_retries(1, calls));
    for (int each = 1; each <= plains; ++each) {
      const auto name = numbered("plain", each);
      this->fleet.fault(
          name, R"({"kind":"slow","ms":)" + std::to_string(held.count()) + "}");
      this->fleet.fault(name, R"({"kind":"lose_answers","count":1000})");
    }
  }

  void look_up() {
    std::vector<std::thread> callers;
    callers.reserve(calls);
    for (int each = 0; each < calls; ++each) {
      callers.emplace_back([this, each] {
        this->fleet.call(1, numbered("lookup", each), {}, "/lookup/x",
                         static_cast<int>(deadline.count()));
      });
    }
    for (auto& each : callers) each.join();
  }

  void expect_no_more_than_is_left() {
    std::map<std::string, invariants::service_event> firsts;
    int again = 0;
    for (const auto& each :
         invariants::in_order(this->fleet.logged_arrivals())) {
      ASSERT_TRUE(each.time_left) << each.attempt;
      EXPECT_LE(*each.time_left, deadline) << each.attempt;
      const auto [first, is_new] = firsts.emplace(each.attempt, each);
      if (is_new) continue;
      ++again;
      EXPECT_GE(each.at - first->second.at, slack) << each.attempt;
      EXPECT_LE(each.at + *each.time_left,
                first->second.at + *first->second.time_left + slack)
          << each.attempt;
    }
    // A lookup whose second server has just lost a response may be refused.
    EXPECT_GE(again, calls / 2);
  }

  small_fleet fleet{2, 1, plains, 1};
};

// Guards against servers that are told more time than the callers have left.
TEST_F(time_left_test, is_handed_on_when_a_request_is_sent_again) {
  this->look_up();
  this->expect_no_more_than_is_left();
}

// Guards against the same at a router that is late itself.
TEST_F(time_left_test, is_handed_on_by_a_router_with_little_processor_time) {
  constexpr double share = 0.03;
  const process_test::cpu_quota quota(this->fleet["router-1"], share);
  this->look_up();
  this->expect_no_more_than_is_left();
}

}  // namespace
}  // namespace boragehill::fleet_test
