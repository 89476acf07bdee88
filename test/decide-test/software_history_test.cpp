#include "decide/software_history.hpp"

#include <gtest/gtest.h>
#include <optional>
#include <string>
#include <vector>

#include "fleet/server_list.hpp"

namespace boragehill::decide {
namespace {

const time_point start{std::chrono::seconds(100)};

/// \param software The version of each server of the service.
void add_servers(fleet::server_list& list, const std::string& service,
                 const std::vector<std::string>& software) {
  for (const auto& each : software) {
    const std::string id = service + std::to_string(list.servers.size());
    list.servers[id] = {.id = id, .service = service, .software = each};
  }
}

fleet::server_list list_of(const std::vector<std::string>& software) {
  fleet::server_list list;
  add_servers(list, "assist", software);
  return list;
}

std::optional<std::string> sole_since(const software_history& history,
                                      time_point since) {
  return history.sole_version("assist", since);
}

TEST(software_history_test, knows_the_version_of_all_servers) {
  software_history history;
  history.on_listed(list_of({"a", "a", "a"}), start);
  EXPECT_EQ(sole_since(history, start), "a");
  // It is still listed, however long ago that was told.
  EXPECT_EQ(sole_since(history, start + std::chrono::hours(1)), "a");
}

TEST(software_history_test, two_versions_have_no_sole_one) {
  software_history history;
  history.on_listed(list_of({"a", "b", "a"}), start);
  EXPECT_EQ(sole_since(history, start), std::nullopt);
  EXPECT_EQ(sole_since(history, start + std::chrono::hours(1)), std::nullopt);
}

// Guards against streams of a version that has just left.
TEST(software_history_test, a_version_that_has_just_left_counts) {
  software_history history;
  history.on_listed(list_of({"a", "b"}), start);
  const auto left = start + std::chrono::seconds(10);
  history.on_listed(list_of({"b"}), left);
  // The list before held until this one came.
  EXPECT_EQ(sole_since(history, start), std::nullopt);
  EXPECT_EQ(sole_since(history, left), std::nullopt);
  EXPECT_EQ(sole_since(history, left + milliseconds(1)), "b");
}

TEST(software_history_test, a_list_that_comes_twice_changes_nothing) {
  software_history history;
  history.on_listed(list_of({"a", "b"}), start);
  history.on_listed(list_of({"a", "b"}), start + milliseconds(1));
  EXPECT_EQ(sole_since(history, start + milliseconds(1)), std::nullopt);
  const auto left = start + std::chrono::seconds(10);
  history.on_listed(list_of({"b"}), left);
  const auto again = left + std::chrono::seconds(10);
  history.on_listed(list_of({"b"}), again);
  EXPECT_EQ(sole_since(history, left), std::nullopt);
  EXPECT_EQ(sole_since(history, left + milliseconds(1)), "b");
  EXPECT_EQ(sole_since(history, again), "b");
}

// Guards against an old list that hides the versions of the last one.
TEST(software_history_test, a_list_that_comes_late_only_adds_versions) {
  software_history history;
  history.on_listed(list_of({"b"}), start);
  const auto crossed = start + milliseconds(5);
  history.on_listed(list_of({"a"}), crossed);
  EXPECT_EQ(sole_since(history, crossed), std::nullopt);
  history.on_listed(list_of({"b"}), crossed + milliseconds(5));
  EXPECT_EQ(sole_since(history, crossed), std::nullopt);
  EXPECT_EQ(sole_since(history, crossed + milliseconds(6)), "b");
}

TEST(software_history_test, a_version_that_comes_back_counts_again) {
  software_history history;
  history.on_listed(list_of({"a"}), start);
  history.on_listed(list_of({"b"}), start + std::chrono::seconds(1));
  history.on_listed(list_of({"a"}), start + std::chrono::seconds(2));
  EXPECT_EQ(sole_since(history, start + std::chrono::seconds(2)), std::nullopt);
  EXPECT_EQ(sole_since(history, start + std::chrono::seconds(3)), "a");
}

// Guards against a router that has just started and goes on with streams of a
// version that had left before it read its first list.
TEST(software_history_test, knows_nothing_of_the_time_before_its_start) {
  software_history history;
  EXPECT_FALSE(history.covers(start));
  history.on_listed(list_of({"b"}), start);
  history.on_listed(list_of({"b"}), start + milliseconds(1));
  EXPECT_TRUE(history.covers(start));
  EXPECT_FALSE(history.covers(start - milliseconds(1)));
}

TEST(software_history_test, services_have_versions_of_their_own) {
  software_history history;
  auto list = list_of({"a"});
  add_servers(list, "embed", {"b", "b"});
  add_servers(list, "rank", {"a", "b"});
  history.on_listed(list, start);
  EXPECT_EQ(history.sole_version("assist", start), "a");
  EXPECT_EQ(history.sole_version("embed", start), "b");
  EXPECT_EQ(history.sole_version("rank", start), std::nullopt);
}

TEST(software_history_test, a_service_without_servers_has_no_version) {
  software_history history;
  EXPECT_EQ(sole_since(history, start), std::nullopt);
  history.on_listed({}, start);
  EXPECT_EQ(sole_since(history, start), std::nullopt);
  history.on_listed(list_of({"a"}), start);
  EXPECT_EQ(history.sole_version("other", start), std::nullopt);
  history.on_listed({}, start + std::chrono::seconds(1));
  EXPECT_EQ(sole_since(history, start), "a");
  EXPECT_EQ(sole_since(history, start + std::chrono::seconds(2)), std::nullopt);
}

// Guards against servers without a version that are overlooked beside others.
TEST(software_history_test, a_server_that_tells_no_version_has_one) {
  software_history history;
  history.on_listed(list_of({"", ""}), start);
  EXPECT_EQ(sole_since(history, start), "");
  history.on_listed(list_of({"", "a"}), start);
  EXPECT_EQ(sole_since(history, start), std::nullopt);
}

}  // namespace
}  // namespace boragehill::decide
