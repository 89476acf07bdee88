#include "decide/grant_change.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

const grant valves{.model = "valves", .bytes = 70};
const server_record empty_server{
    .id = "s1", .fence = 7, .capacity_bytes = 160, .grants = {}};
const grant first_valves{.model = "valves", .bytes = 70, .serial = 1};
const server_record holding_server{.id = "s1",
                                   .fence = 7,
                                   .capacity_bytes = 160,
                                   .grants = {first_valves},
                                   .last_serial = 1};
const server_record emptied_server{.id = "s1",
                                   .fence = 7,
                                   .capacity_bytes = 160,
                                   .grants = {},
                                   .last_serial = 1};
const placement elsewhere{.model = "valves", .servers = {"s0"}};
const placement granted{.model = "valves", .servers = {"s0", "s1"}};

TEST(grant_change_test, adds_a_grant_to_both_rows_and_removes_it) {
  const auto added = add_grant(elsewhere, empty_server, valves);
  ASSERT_TRUE(added);
  EXPECT_EQ(*added, (grant_change{granted, holding_server}));
  const auto removed =
      remove_grant(added->model_row, added->server_row, "valves", {7, 1});
  ASSERT_TRUE(removed);
  EXPECT_EQ(*removed, (grant_change{elsewhere, emptied_server}));
}

TEST(grant_change_test, rejects_a_duplicate_oversized_or_mismatched_grant) {
  EXPECT_FALSE(add_grant(granted, holding_server, valves));
  EXPECT_FALSE(add_grant(elsewhere, empty_server, {"other", 70}));
  EXPECT_FALSE(add_grant(elsewhere, empty_server, {"valves", 161}));
  EXPECT_FALSE(remove_grant(elsewhere, empty_server, "valves", {7, 0}));
}

TEST(grant_change_test, keeps_the_grant_when_the_agent_restarted) {
  // The agent gives up a grant, restarts, finds the grant still in the row and
  // loads the model again. If the home then accepted the old acknowledgement
  // and granted elsewhere, one replica too many would be loaded.
  const server_record restarted{.id = "s1", .fence = 8, .grants = {valves}};
  EXPECT_FALSE(remove_grant(granted, restarted, "valves", {7, 0}));
  EXPECT_TRUE(remove_grant(granted, restarted, "valves", {8, 0}));
}

TEST(grant_change_test, keeps_a_later_grant_on_an_earlier_acknowledgement) {
  // A home removes a given-up grant and grants the server the model again,
  // which loads it. The first acknowledgement then reaches another home. If
  // that home accepted it for the new grant and granted elsewhere, one replica
  // too many would be loaded.
  const auto granted_again = add_grant(elsewhere, emptied_server, valves);
  ASSERT_TRUE(granted_again);
  EXPECT_EQ(granted_again->server_row.grants.front().serial, 2U);
  EXPECT_FALSE(remove_grant(granted_again->model_row, granted_again->server_row,
                            "valves", {7, 1}));
  EXPECT_TRUE(remove_grant(granted_again->model_row, granted_again->server_row,
                           "valves", {7, 2}));
}

TEST(grant_change_test, removes_the_grant_of_a_lost_server_at_any_fence) {
  const auto removed =
      remove_grant_of_lost_server(granted, holding_server, "valves");
  ASSERT_TRUE(removed);
  EXPECT_EQ(*removed, (grant_change{elsewhere, emptied_server}));
  const auto removed_from_one_row =
      remove_grant_of_lost_server(granted, empty_server, "valves");
  ASSERT_TRUE(removed_from_one_row);
  EXPECT_EQ(removed_from_one_row->model_row, elsewhere);
}

}  // namespace
}  // namespace boragehill::decide
