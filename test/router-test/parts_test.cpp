#include <gtest/gtest.h>
#include <httplib.h>
#include <json/json.h>
#include <sstream>
#include <thread>

#include "fake_table.hpp"
#include "router/permit_desk.hpp"
#include "router/refusal_response.hpp"

namespace boragehill::router {
namespace {

time_point soon() {
  return time_point::clock::now() + milliseconds(2000);
}

// The home's answer overtakes its own "queued" reply on another connection.
// The caller would wait out its deadline for an answer that already came.
TEST(permit_desk_test, keeps_an_answer_that_comes_before_the_wait) {
  permit_desk desk;
  desk.open("a.1.1", {.id = "home"});
  EXPECT_TRUE(desk.bring({.attempt = "a.1.1", .server = "s1"}));
  const auto answer = desk.await("a.1.1", soon());
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->server, "s1");
}

TEST(permit_desk_test, wakes_a_waiting_thread) {
  permit_desk desk;
  desk.open("a.1.1", {.id = "home"});
  std::thread home([&] { desk.bring({.attempt = "a.1.1", .server = "s1"}); });
  EXPECT_TRUE(desk.await("a.1.1", soon()));
  home.join();
}

// A permit comes for a request that has given up. Unless the home is told that
// nobody took it, the server's slot stays taken until the permit ends.
TEST(permit_desk_test, says_that_nobody_waits_any_more) {
  permit_desk desk;
  desk.open("a.1.1", {.id = "home"});
  desk.close("a.1.1");
  EXPECT_FALSE(desk.bring({.attempt = "a.1.1"}));
  EXPECT_FALSE(desk.await("a.1.1", soon()));
  EXPECT_EQ(desk.size(), 0u);
}

TEST(permit_desk_test, ends_the_wait_when_the_home_is_lost) {
  permit_desk desk;
  desk.open("a.1.1", {.id = "home"});
  desk.lose({"a.1.1", "a.2.1"});
  EXPECT_FALSE(desk.await("a.1.1", soon()));
}

TEST(permit_desk_test, renews_only_what_the_home_has_queued) {
  permit_desk desk;
  desk.open("a.1.1", {.id = "home"});
  EXPECT_TRUE(desk.waiting().empty());
  desk.mark_queued("a.1.1");
  EXPECT_EQ(desk.waiting().at("home").second,
            std::vector<std::string>{"a.1.1"});
  desk.bring({.attempt = "a.1.1"});
  EXPECT_TRUE(desk.waiting().empty());
}

TEST(refusal_response_test,
     says_number_name_whether_it_ran_and_when_to_return) {
  httplib::Response response;
  write_refusal({result_code::queue_full, ran_state::no, milliseconds(1200),
                 "20 \"wait\""},
                response);
  EXPECT_EQ(response.status, 429);
  EXPECT_EQ(response.get_header_value("Retry-After"), "2");
  EXPECT_EQ(response.get_header_value("Boragehill-Ran"), "no");
  Json::Value json;
  std::istringstream(response.body) >> json;
  EXPECT_EQ(json["error"]["code"].asInt(), 2001);
  EXPECT_EQ(json["error"]["name"].asString(), "queue_full");
  EXPECT_EQ(json["error"]["message"].asString(), "20 \"wait\"");
  EXPECT_EQ(json["error"]["retry_after_ms"].asInt(), 1200);
}

TEST(refusal_response_test, names_no_time_to_return_when_there_is_none) {
  httplib::Response response;
  write_refusal({result_code::outcome_unknown, ran_state::unknown}, response);
  EXPECT_EQ(response.status, 504);
  EXPECT_FALSE(response.has_header("Retry-After"));
  EXPECT_EQ(response.get_header_value("Boragehill-Ran"), "unknown");
}

}  // namespace
}  // namespace boragehill::router
