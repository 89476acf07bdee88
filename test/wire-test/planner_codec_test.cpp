#include "wire/planner_codec.hpp"

#include <gtest/gtest.h>
#include <map>
#include <string>

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
                           .trials = {"7a8b"},
                           .quarantined_parts = {{"5c1e"}},
                           .suspected_parts = {{{"91bd", milliseconds(70)}}},
                           .rate_limits = {{{"i-1", {1.5, 2}}}},
                           .tokens = {{"i-1", 3}},
                           .streams = {{"s-1", {"s", "1.2", milliseconds(9)}},
                                       {"s-2", {"t", "", milliseconds(0)}}},
                           .unknown_streams = {"s-3", "s-4"},
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
                              .software = "1.2",
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
                         .requests = {{"0a1b",
                                       {.ran = milliseconds(30), .runs = 3}},
                                      {"2c3d", {.delay = milliseconds(8)}}},
                         .parts = {{"5c1e", {0}}, {"91bd", {1}}}}},
      .quarantined = {"4e5f"},
      .cleared_requests = {"0a1b"},
      .completed_requests = {"2c3d"},
      .wanted_trials = {"7a8b"},
      .quarantined_parts = {"5c1e"},
      .cleared_parts = {"91bd"},
      .completed_parts = {"e440"},
      .rate_limits = {.announcements = {{"i-1", 1.5}, {"i-2", std::nullopt}},
                      .needed = {{"i-1", 4}}},
      .streams = {{"s-1", {"s", "1.2", milliseconds(9)}},
                  {"s-2", {"t", "", milliseconds(0)}}},
      .wanted_streams = {"s-3", "s-4"}};
  EXPECT_EQ(decode_router_report(encode(report)), report);
}

// Guards against a planner or router of an earlier version that is refused
// while both are in use.
TEST(planner_codec_test, messages_that_tell_of_no_streams_are_as_before) {
  const view_update update{.term = 9, .tokens = {{"i-1", 3}}};
  const auto told = encode(update);
  EXPECT_FALSE(told.isMember("streams"));
  EXPECT_FALSE(told.isMember("unknown_streams"));
  EXPECT_EQ(decode_view_update(told), update);
  EXPECT_FALSE(decode_view_update(told).tells_of_streams());
  const router_report report{
      .router = "r-1",
      .demand = {.demands = {{.service = "s", .model = "m", .arrivals = 3}}}};
  const auto reported = encode(report);
  EXPECT_FALSE(reported.isMember("streams"));
  EXPECT_FALSE(reported.isMember("wanted_streams"));
  EXPECT_FALSE(reported["demands"][0].isMember("software"));
  EXPECT_EQ(decode_router_report(reported), report);
  EXPECT_FALSE(decode_router_report(reported).tells_of_streams());
}

TEST(planner_codec_test, quotas_are_told_where_accounts_have_them) {
  const router_report report{
      .router = "r-1",
      .quotas = decide::quota_report{
          .made_at = milliseconds(7),
          .last_round = 3,
          .known_routers = 31,
          .needs = {{.account = "a", .waiting = 12, .first = 4, .ahead = 0.5},
                    {.account = "b", .ahead = 2}}}};
  EXPECT_EQ(decode_router_report(encode(report)), report);
  const view_update update{
      .term = 9,
      .quota_grants = decide::quota_grants{
          .round = 4,
          .report_made_at = milliseconds(7),
          .grants = {{.account = "a", .tokens = 2.5},
                     {.account = "b", .exhausted_for = milliseconds(30)}}}};
  EXPECT_EQ(decode_view_update(encode(update)), update);
  EXPECT_FALSE(encode(router_report{}).isMember("quotas"));
  EXPECT_FALSE(encode(view_update{}).isMember("quotas"));
}

TEST(planner_codec_test, each_field_about_streams_stands_for_itself) {
  const std::map<std::string, decide::stream_origin> streams{
      {"s-1", {"s", "1.2", milliseconds(9)}}};
  view_update update{.streams = streams};
  EXPECT_TRUE(update.tells_of_streams());
  EXPECT_EQ(decode_view_update(encode(update)), update);
  update = {.unknown_streams = {"s-1"}};
  EXPECT_TRUE(update.tells_of_streams());
  EXPECT_EQ(decode_view_update(encode(update)), update);
  router_report report{.streams = streams};
  EXPECT_TRUE(report.tells_of_streams());
  EXPECT_EQ(decode_router_report(encode(report)), report);
  report = {.wanted_streams = {"s-1"}};
  EXPECT_TRUE(report.tells_of_streams());
  EXPECT_EQ(decode_router_report(encode(report)), report);
}

// Guards against names of attempts that callers choose and that break a
// message.
TEST(planner_codec_test, any_name_of_a_stream_comes_back) {
  const std::string name = "a.b[0]/\"\\ \xc4\x8d";
  const router_report report{.streams = {{name, {"s", name, milliseconds(9)}}},
                             .wanted_streams = {name, ""}};
  EXPECT_EQ(decode_router_report(encode(report)), report);
}

TEST(planner_codec_test, streams_of_another_type_are_refused) {
  Json::Value message;
  message["streams"] = "s-1";
  EXPECT_THROW(decode_view_update(message), Json::Exception);
  EXPECT_THROW(decode_router_report(message), Json::Exception);
  message["streams"] = Json::Value(Json::objectValue);
  message["streams"]["s-1"] = 7;
  EXPECT_THROW(decode_view_update(message), Json::Exception);
  EXPECT_THROW(decode_router_report(message), Json::Exception);
}

TEST(planner_codec_test, a_field_of_another_type_is_refused) {
  Json::Value message;
  message["term"] = "nine";
  EXPECT_THROW(decode_worker_target(message), Json::Exception);
}

}  // namespace
}  // namespace boragehill::wire
