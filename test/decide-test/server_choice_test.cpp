#include "decide/server_choice.hpp"

#include <gtest/gtest.h>
#include <limits>
#include <map>

namespace boragehill::decide {
namespace {

constexpr int no_backlog_limit = std::numeric_limits<int>::max();

TEST(server_choice_test, distributes_a_busy_model_evenly_over_its_replicas) {
  // One router sends 60 requests for a model with five replicas. With a random
  // choice the fullest gets far more than its share and its responses are late.
  std::vector<server_candidate> servers(5, server_candidate{.slots = 64});
  for (std::uint64_t request = 0; request < 60; ++request) {
    const auto chosen =
        choose_server(servers, 0.25, no_backlog_limit, request * 7919);
    ASSERT_TRUE(chosen);
    ++servers[*chosen].own_requests;
  }
  for (const auto& server : servers) EXPECT_EQ(server.own_requests, 12);
}

TEST(server_choice_test, counts_requests_of_other_routers) {
  const std::vector<server_candidate> servers{
      {.own_requests = 0, .other_requests = 30, .slots = 64},
      {.own_requests = 5, .other_requests = 0, .slots = 64}};
  EXPECT_EQ(choose_server(servers, 0.25, no_backlog_limit, 0), 1U);
}

TEST(server_choice_test, distributes_a_burst_of_prompts) {
  // Three callers send long prompts within a few milliseconds. If the worker
  // with the fewest requests gets all of them, they pause all its streams for a
  // quarter of a second.
  std::vector<server_candidate> servers(3, server_candidate{.slots = 64});
  servers[1].own_requests = 8;
  servers[2].own_requests = 9;
  for (int request = 0; request < 3; ++request) {
    const auto chosen = choose_server(servers, 0.25, no_backlog_limit, 0);
    ASSERT_TRUE(chosen);
    EXPECT_EQ(servers[*chosen].prompt_backlog_tokens, 0);
    ++servers[*chosen].own_requests;
    servers[*chosen].prompt_backlog_tokens += 3000;
  }
}

TEST(server_choice_test, prefers_a_local_server_only_among_equals) {
  std::vector<server_candidate> servers{{.slots = 64},
                                        {.slots = 64, .local = true}};
  EXPECT_EQ(choose_server(servers, 0.25, no_backlog_limit, 0), 1U);
  servers[1].own_requests = 10;
  EXPECT_EQ(choose_server(servers, 0.25, no_backlog_limit, 0), 0U);
}

TEST(server_choice_test, uses_a_suspected_server_only_if_all_others_are_full) {
  std::vector<server_candidate> servers{{.slots = 2, .suspected = true},
                                        {.own_requests = 1, .slots = 2}};
  EXPECT_EQ(choose_server(servers, 0, no_backlog_limit, 0), 1U);
  servers[1].own_requests = 2;
  EXPECT_EQ(choose_server(servers, 0, no_backlog_limit, 0), 0U);
  servers[0].own_requests = 2;
  EXPECT_EQ(choose_server(servers, 0, no_backlog_limit, 0), std::nullopt);
}

TEST(server_choice_test, returns_nothing_without_candidates) {
  EXPECT_EQ(choose_server({}, 0.25, no_backlog_limit, 5), std::nullopt);
}

TEST(server_choice_test, late_requests_leave_capacity_for_those_in_time) {
  // A busy model is loaded again after a restart, and a hundred requests wait
  // for it that are late already. Sent all at once, their prompts kept its
  // worker busy for two seconds, and new requests were late as well.
  std::vector<server_candidate> servers{{.slots = 64}};
  int sent = 0;
  for (int request = 0; request < 100; ++request) {
    if (!choose_server(servers, 0.25, 2000, 0)) break;
    ++sent;
    ++servers[0].own_requests;
    servers[0].prompt_backlog_tokens += 650;
  }
  EXPECT_GT(sent, 1);
  EXPECT_LT(sent, 10);
  EXPECT_TRUE(choose_server(servers, 0.25, no_backlog_limit, 0));
  servers[0].prompt_backlog_tokens = 0;
  EXPECT_TRUE(choose_server(servers, 0.25, 2000, 0));
}

TEST(server_choice_test, many_routers_with_one_view_choose_different_servers) {
  // A hundred routers that know the same numbers send the requests of a tenth
  // of a second to one server, and its streams pause.
  std::vector<server_candidate> servers;
  for (const int requests : {7, 8, 8, 9, 9}) {
    servers.push_back({.other_requests = requests, .slots = 16});
  }
  constexpr int routers = 100;
  std::vector<int> chosen_count(servers.size());
  for (std::uint64_t router = 0; router < routers; ++router) {
    const auto chosen = choose_server(servers, 0.25, no_backlog_limit,
                                      router * 7919, view_error_of(routers));
    ASSERT_TRUE(chosen);
    ++chosen_count[*chosen];
  }
  for (const int count : chosen_count) EXPECT_LE(count, routers / 2);
}

TEST(server_choice_test, a_view_error_does_not_hide_a_large_difference) {
  const std::vector<server_candidate> servers{
      {.other_requests = 14, .slots = 16}, {.other_requests = 8, .slots = 16}};
  for (std::uint64_t request = 0; request < 100; ++request) {
    EXPECT_EQ(choose_server(servers, 0.25, no_backlog_limit, request * 7919,
                            view_error_of(100)),
              1U);
  }
}

TEST(server_choice_test, one_router_knows_all_requests) {
  EXPECT_EQ(view_error_of(1), 0);
  EXPECT_LT(view_error_of(4), 0.5);
}

}  // namespace
}  // namespace boragehill::decide
