#include <gtest/gtest.h>
#include <variant>

#include <boragehill/profile.hpp>

#include "decide/catalog.hpp"
#include "decide/home.hpp"

namespace boragehill::decide {

namespace {

constexpr std::uint32_t slots = 2;

time_point at(int ms) {
  return time_point{} + std::chrono::hours(1) + milliseconds(ms);
}

wire::agent_report report_at(int ms, std::uint32_t running) {
  wire::agent_report report{.server = "server-a", .fence = 1, .now_ms = ms};
  report.slots = slots;
  report.running = running;
  report.replicas.push_back(
      {.name = "valves", .state = wire::replica_state::ready});
  return report;
}

wire::permit_request request_for(const std::string& attempt) {
  return {.attempt = attempt, .target = "model:valves", .time_left_ms = 30000};
}

home home_with_server(std::uint32_t running) {
  home result(home_settings{}, crash_attribution_settings{});
  result.on_catalog(
      catalog(1, {{.name = "assistant", .models = {{.name = "valves"}}}}),
      at(0));
  result.on_servers("model:valves", {"server-a"}, at(0));
  result.on_report(report_at(0, running), at(0));
  return result;
}

bool is_granted(const wire::permit_answer& response) {
  return response.state == wire::permit_state::granted;
}

}  // namespace

// Guards against requests that wait beside an idle server. The server is full
// when it reports and its requests end shortly after. If the count of running
// requests in the report, up to half a second old, is used until the next one,
// a busy server fills its slots only once per report.
TEST(home_load_test, reuses_freed_slots_before_the_next_report) {
  home valves = home_with_server(0);
  ASSERT_TRUE(is_granted(valves.request_permit(request_for("r1.1.1"), at(1))));
  ASSERT_TRUE(is_granted(valves.request_permit(request_for("r1.2.1"), at(1))));
  valves.on_report(report_at(500, slots), at(500));
  ASSERT_FALSE(
      is_granted(valves.request_permit(request_for("r1.3.1"), at(510))));
  valves.take_actions();

  valves.on_attempt_end({.attempt = "r1.1.1", .target = "model:valves"},
                        at(520));

  const auto actions = valves.take_actions();
  ASSERT_EQ(actions.size(), 1U);
  const auto* notification = std::get_if<notify_entry>(&actions.front());
  ASSERT_NE(notification, nullptr);
  EXPECT_EQ(notification->response.attempt, "r1.3.1");
  EXPECT_TRUE(is_granted(notification->response));
}

TEST(home_load_test, counts_requests_of_other_homes) {
  home valves = home_with_server(slots - 1);
  EXPECT_TRUE(is_granted(valves.request_permit(request_for("r1.1.1"), at(1))));
  EXPECT_FALSE(is_granted(valves.request_permit(request_for("r1.2.1"), at(1))));
}

}  // namespace boragehill::decide
