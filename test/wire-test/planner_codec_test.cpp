#include "wire/planner_codec.hpp"

#include <gtest/gtest.h>

namespace boragehill::wire {
namespace {

TEST(planner_codec_test, every_message_comes_back_as_it_was) {
  const std::vector<fleet::resident_model> held{{"m", {"a1"}}, {"n", {}}};
  const server_view told{.server = "i-1", .models = held, .other_requests = 4};
  const server_view counted{
      .server = "i-2", .models = std::nullopt, .other_requests = 7};
  const view_update update{.term = 9,
                           .routers = 3,
                           .whole = true,
                           .servers = {told, counted},
                           .expected = {{"k", milliseconds(900)}},
                           .quarantined_requests = {{"0a1b"}},
                           .suspected_requests = {{{"2c3d", milliseconds(5)}}},
                           .quarantined_parts = {{"5c1e"}},
                           .suspected_parts = {{{"91bd", milliseconds(70)}}},
                           .rate_limits = {{{"i-1", {1.5, 2}}}},
                           .tokens = {{"i-1", 3}},
                           .grants = {{"i-1", "m", "a1", 2}},
                           .grant_round = 12};
  EXPECT_EQ(decode_view_update(encode(update)), update);
  const worker_target target{.term = 9,
                             .server = "i-1",
                             .service = "s",
                             .target = {.models = {"m"}, .adapters = {"m/a1"}}};
  EXPECT_EQ(decode_worker_target(encode(target)), target);
  const worker_status status{.term = 9,
                             .reachable = true,
                             .report = {.server = "i-1",
                                        .leaving = true,
                                        .models = {{"m", {"a1"}}},
                                        .coming = {"m/a2"},
                                        .busy = true,
                                        .sequence = 12,
                                        .running = 3,
                                        .waiting = 1,
                                        .in_memory = {"m"},
                                        .on_disk = {"m", "n"}}};
  EXPECT_EQ(decode_worker_status(encode(status)), status);
  const router_report report{
      .router = "r-1",
      .demand = {.demands = {{.service = "s",
                              .model = "m",
                              .adapter = "a1",
                              .arrivals = 3,
                              .waiting = 2,
                              .late = 1,
                              .oldest_wait = milliseconds(70),
                              .weight = 1.5}},
                 .in_flight = {{.server = "i-1",
                                .model = "m",
                                .adapter = {},
                                .requests = 5}},
                 .unreachable_servers = {"i-3"},
                 .last_grant_round = 11},
      .interruptions = {{.server = "i-1",
                         .age = milliseconds(40),
                         .requests = {{"0a1b", {.ran = milliseconds(30)}},
                                      {"2c3d", {.delay = milliseconds(8)}}},
                         .parts = {{"5c1e", {0}}, {"91bd", {1}}}}},
      .quarantined = {"4e5f"},
      .cleared_requests = {"0a1b"},
      .completed_requests = {"2c3d"},
      .quarantined_parts = {"5c1e"},
      .cleared_parts = {"91bd"},
      .completed_parts = {"e440"},
      .rate_limits = {.announcements = {{"i-1", 1.5}, {"i-2", std::nullopt}},
                      .needed = {{"i-1", 4}}}};
  EXPECT_EQ(decode_router_report(encode(report)), report);
}

TEST(planner_codec_test, a_field_of_another_type_is_refused) {
  Json::Value message;
  message["term"] = "nine";
  EXPECT_THROW(decode_worker_target(message), Json::Exception);
}

}  // namespace
}  // namespace boragehill::wire
