#include <chrono>
#include <fstream>
#include <gtest/gtest.h>
#include <httplib.h>
#include <string>
#include <thread>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;

/// Within which a configuration is in force everywhere.
constexpr milliseconds apply_time{3000};

constexpr auto two_accounts = R"([
    {"name":"blue","apiKeys":["blue-key-1","blue-key-2"],"priority":1},
    {"name":"green","apiKeys":["green-key-1"],"priority":0}])";

class client_account_test : public testing::Test {
 protected:
  client_account_test() : fleet(1, 1, 1, 1) {}

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    this->put(two_accounts);
  }

  /// Writes a configuration with these accounts and waits until it is in force.
  void put(const std::string& accounts) {
    this->fleet.set_accounts(accounts);
    this->fleet.configure(++this->version, "/plain/");
    ASSERT_TRUE(this->fleet.wait_for_catalog(this->version));
  }

  /// \param more Header lines.
  httplib::Result call(httplib::Client& client, const std::string& path,
                       const httplib::Headers& more) {
    httplib::Headers headers{
        {"Host", "valves.example"},
        {"Boragehill-Attempt-Id", "call-" + std::to_string(++this->calls)}};
    for (const auto& each : more) headers.insert(each);
    return client.Post(path, headers, "which spool?", "text/plain");
  }

  httplib::Client client() {
    const auto address = this->fleet.caller_address(1);
    return httplib::Client(address.address, address.port);
  }

  int status_for(const std::string& key) {
    auto to = this->client();
    const auto answer =
        this->call(to, "/plain/x", {{"Authorization", "Bearer " + key}});
    return answer ? answer->status : 0;
  }

  small_fleet fleet;
  std::int64_t version = 100;
  int calls = 0;
};

// Guards against servers that learn a key or believe a caller's account.
TEST_F(client_account_test, names_the_account_to_the_server_and_no_key) {
  auto to = this->client();
  const auto answer = this->call(
      to, "/plain/x",
      {{"Authorization", "Bearer blue-key-2"}, {"Boragehill-Tenant", "green"}});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->get_header_value("Seen-Account"), "blue");
  EXPECT_EQ(answer->get_header_value("Seen-Key"), "");
}

// Guards against requests that run without a known key.
TEST_F(client_account_test, rejects_what_shows_no_known_key) {
  const std::vector<httplib::Headers> cases{
      {},
      {{"Authorization", "Bearer red-key-1"}},
      {{"Authorization", "Basic blue-key-1"}},
      {{"Authorization", "Bearer"}},
      {{"Authorization", "Bearer " + std::string(1024, 'k')}},
      {{"Authorization", "Bearer bl\xc3\xbc-key-1"}},
      {{"Authorization", "Bearer blue-key-1"},
       {"Authorization", "Bearer green-key-1"}},
      {{"Authorization", "Bearer red-key-1"}, {"Boragehill-Tenant", "blue"}}};
  for (const auto& each : cases) {
    auto to = this->client();
    const auto answer = this->call(to, "/plain/x", each);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 401);
    EXPECT_EQ(answer->get_header_value("WWW-Authenticate"), "Bearer");
  }
  EXPECT_TRUE(this->fleet.logged_arrivals().empty());
}

TEST_F(client_account_test, needs_no_key_where_the_route_is_public) {
  auto to = this->client();
  const auto unknown = this->call(
      to, "/lookup/x",
      {{"Authorization", "Bearer red-key-1"}, {"Boragehill-Tenant", "blue"}});
  ASSERT_TRUE(unknown);
  EXPECT_EQ(unknown->status, 200);
  EXPECT_EQ(unknown->get_header_value("Seen-Account"), "");
  EXPECT_EQ(unknown->get_header_value("Seen-Key"), "");
}

// Guards against keys that go on working on connections that are open.
TEST_F(client_account_test, rejects_a_key_that_was_taken_away) {
  auto open = this->client();
  open.set_keep_alive(true);
  const httplib::Headers old{{"Authorization", "Bearer green-key-1"}};
  ASSERT_EQ(this->call(open, "/plain/x", old)->status, 200);
  this->put(R"([{"name":"blue","apiKeys":["blue-key-1"]},
                {"name":"green","apiKeys":[]}])");
  EXPECT_EQ(this->call(open, "/plain/x", old)->status, 401);
  EXPECT_EQ(this->status_for("blue-key-2"), 401);
  EXPECT_EQ(this->status_for("blue-key-1"), 200);
}

// Guards against requests that count for the account that held a key before.
TEST_F(client_account_test, follows_a_key_from_one_account_to_another) {
  this->put(R"([{"name":"blue","apiKeys":["blue-key-1"]},
                {"name":"green","apiKeys":["green-key-1","blue-key-2"]}])");
  auto to = this->client();
  const auto answer =
      this->call(to, "/plain/x", {{"Authorization", "Bearer blue-key-2"}});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->get_header_value("Seen-Account"), "green");
}

// Guards against a configuration that names one key twice and locks callers
// out, or in.
TEST_F(client_account_test, keeps_the_version_in_force_if_keys_are_mixed_up) {
  this->fleet.set_accounts(
      R"([{"name":"blue","apiKeys":["shared-key"]},
          {"name":"green","apiKeys":["shared-key"]}])");
  this->fleet.configure(this->version + 1, "/plain/");
  std::this_thread::sleep_for(apply_time);
  EXPECT_EQ(this->fleet.catalog_version(1), this->version);
  EXPECT_EQ(this->status_for("blue-key-1"), 200);
  EXPECT_EQ(this->status_for("shared-key"), 401);
}

}  // namespace
}  // namespace boragehill::fleet_test
