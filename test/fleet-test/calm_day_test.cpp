#include <atomic>
#include <gtest/gtest.h>
#include <memory>
#include <thread>
#include <vector>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

bool is_whole_stream(const httplib::Result& answer) {
  if (!answer || answer->status != 200) return false;
  return answer->body.find("id: 1\n") != std::string::npos &&
         answer->body.find("id: 8\n") != std::string::npos;
}

TEST(calm_day_test, answers_plain_calls_and_streams_each_run_once) {
  small_fleet fleet(2, 2, 2, 3);
  ASSERT_TRUE(fleet.start());
  for (int each = 0; each < 30; ++each) {
    const int router = 1 + each % 2;
    const std::string plain = "p" + std::to_string(each);
    const auto answer = fleet.call(router, plain, {});
    ASSERT_TRUE(answer) << plain;
    EXPECT_EQ(answer->status, 200) << answer->body;
    EXPECT_EQ(answer->body, "plain answer to which spool?");
    EXPECT_EQ(answer->get_header_value("Boragehill-Attempt-Id"), plain);
    EXPECT_NE(answer->get_header_value("Boragehill-Response-Stamp"), "");
    EXPECT_EQ(fleet.runs_of(plain), 1);
    const std::string stream = "s" + std::to_string(each);
    const auto events = fleet.call(
        router, stream, "model-" + std::to_string(1 + each % 2), "/stream/x");
    EXPECT_TRUE(is_whole_stream(events)) << stream;
    EXPECT_EQ(fleet.runs_of(stream), 1);
  }
  EXPECT_TRUE(fleet.orders_were_sound());
}

TEST(calm_day_test, wakes_models_that_stand_nowhere_and_their_adapters) {
  // Four models on four places, two of them idle: a request for a fifth waits
  // for its load from disk, in the place of one that nobody uses.
  small_fleet fleet(2, 2, 1, 5);
  ASSERT_TRUE(fleet.start());
  for (const char* model :
       {"model-3", "model-4", "model-5", "model-3", "model-1/a1"}) {
    const std::string attempt = std::string("w-") + model;
    EXPECT_TRUE(is_whole_stream(fleet.call(1, attempt, model, "/stream/x")))
        << model;
  }
  EXPECT_TRUE(fleet.orders_were_sound());
}

TEST(calm_day_test, a_new_worker_that_is_empty_is_used) {
  // A release replaces workers by new ones, which hold nothing and have no
  // copies. The planner took them for plain servers and never reached their
  // agents, so the fleet shrank to the workers that were left.
  small_fleet fleet(1, 1, 1, 2, 1);
  ASSERT_TRUE(fleet.start());
  // Its load from the store takes longer than callers stay: the first one is
  // told when to come back, and is served then.
  auto answer = fleet.call(1, "e0", "model-2", "/stream/x");
  ASSERT_TRUE(answer);
  if (answer->status == 503) {
    const auto back = std::stod(answer->get_header_value("Retry-After"));
    EXPECT_GT(back, 0);
    std::this_thread::sleep_for(std::chrono::duration<double>(back));
    answer = fleet.call(1, "e1", "model-2", "/stream/x");
  }
  EXPECT_TRUE(is_whole_stream(answer));
  EXPECT_TRUE(fleet.orders_were_sound());
}

TEST(calm_day_test, a_changed_configuration_is_in_force_within_two_seconds) {
  small_fleet fleet(2, 1, 1, 1);
  ASSERT_TRUE(fleet.start());
  fleet.configure(5, "/plain/new/");
  std::this_thread::sleep_for(milliseconds(2000));
  for (const int router : {1, 2}) {
    const auto news = fleet.call(router, "n1", {}, "/plain/new/x");
    ASSERT_TRUE(news);
    EXPECT_EQ(news->status, 200);
    const auto old = fleet.call(router, "o1", {}, "/plain/x");
    ASSERT_TRUE(old);
    EXPECT_EQ(old->status, 404);
  }
  // An older version that comes late takes nobody back.
  fleet.configure(3, "/plain/");
  std::this_thread::sleep_for(milliseconds(500));
  const auto still = fleet.call(1, "n2", {}, "/plain/new/x");
  ASSERT_TRUE(still);
  EXPECT_EQ(still->status, 200);
}

TEST(calm_day_test, a_leaving_worker_gets_nothing_after_two_seconds) {
  // A worker says that it leaves and goes on serving. What is sent to it two
  // seconds later is cut off in the middle when it goes.
  small_fleet fleet(1, 1, 2, 1);
  ASSERT_TRUE(fleet.start());
  fleet.drain("plain-1");
  std::this_thread::sleep_for(milliseconds(2000));
  const auto before = fleet.truth("plain-1")["runs"].size();
  for (int each = 0; each < 20; ++each) {
    const auto answer = fleet.call(1, "d" + std::to_string(each), {});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
  }
  EXPECT_EQ(fleet.truth("plain-1")["runs"].size(), before);
}

TEST(calm_day_test, what_runs_at_a_leaving_worker_ends_in_peace) {
  // A worker says that it leaves while streams run there. It serves on for a
  // while, so they end whole, and later callers are served elsewhere.
  small_fleet fleet(1, 2, 1, 2);
  ASSERT_TRUE(fleet.start());
  std::atomic<int> whole{0};
  std::vector<std::thread> callers;
  constexpr int streams = 4;
  callers.reserve(streams);
  for (int each = 0; each < streams; ++each) {
    callers.emplace_back([&fleet, &whole, each] {
      const auto attempt = "e" + std::to_string(each);
      const auto answer = fleet.call(1, attempt, "model-1", "/stream/x");
      EXPECT_TRUE(is_whole_stream(answer))
          << (answer ? answer->status : 0) << (answer ? answer->body : "");
      EXPECT_EQ(fleet.runs_of(attempt), 1) << attempt;
      if (is_whole_stream(answer)) ++whole;
    });
  }
  std::this_thread::sleep_for(milliseconds(60));
  fleet.drain("worker-1");
  for (auto& each : callers) each.join();
  EXPECT_EQ(whole, streams);
  EXPECT_TRUE(is_whole_stream(fleet.call(1, "later", "model-1", "/stream/x")));
  EXPECT_EQ(fleet.truth("worker-2")["runs"]["later"].asInt(), 1);
}

TEST(calm_day_test, a_server_that_was_replaced_gets_one_request_at_most) {
  // A server crashes and another lifetime starts at its address. The platform
  // lists both for seconds; each request for the first one is refused, sent
  // again elsewhere, and uses up the retry budget, until callers are refused.
  small_fleet fleet(1, 1, 2, 1);
  ASSERT_TRUE(fleet.start());
  fleet.replace_plain(1, "i-second");
  for (int each = 0; each < 80; ++each) {
    const auto answer = fleet.call(1, "q" + std::to_string(each), {});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200) << each;
  }
}

TEST(calm_day_test, another_router_plans_when_the_planner_is_killed) {
  // The router that plans loses its machine. Until another one plans no model
  // is woken; a request that waits meanwhile is served, not refused.
  small_fleet fleet(2, 2, 1, 4);
  ASSERT_TRUE(fleet.start());
  ASSERT_TRUE(is_whole_stream(fleet.call(1, "k0", "model-3", "/stream/x")));
  const std::string planner = fleet.planner();
  ASSERT_TRUE(planner == "router-1" || planner == "router-2") << planner;
  const int other = planner == "router-1" ? 2 : 1;
  fleet[planner].kill();
  const auto begin = steady_clock::now();
  EXPECT_TRUE(is_whole_stream(fleet.call(other, "k1", "model-4", "/stream/x")));
  EXPECT_LT(steady_clock::now() - begin, milliseconds(4000));
  EXPECT_EQ(fleet.planner(), "router-" + std::to_string(other));
  EXPECT_TRUE(fleet.orders_were_sound());
}

TEST(calm_day_test, a_router_that_starts_refuses_nobody_for_a_few_ms) {
  // A router is killed and starts again. Callers reach it before it has read
  // the configuration, and were refused although it was there a moment later.
  small_fleet fleet(1, 1, 1, 1);
  ASSERT_TRUE(fleet.start());
  for (int restart = 0; restart < 3; ++restart) {
    fleet["router-1"].kill();
    fleet["router-1"].start();
    const std::string attempt = "s" + std::to_string(restart);
    auto answer = fleet.call(1, attempt, {});
    // Until it listens.
    for (int tries = 0; !answer && tries < 500; ++tries) {
      std::this_thread::sleep_for(milliseconds(1));
      answer = fleet.call(1, attempt, {});
    }
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200) << answer->body;
  }
}

TEST(calm_day_test, a_request_that_crashes_servers_is_refused_everywhere) {
  // A caller's request takes down each server that begins to run it, and the
  // caller sends it again at another router. Without a word between routers
  // every server goes down; with it the fourth is spared, and so are others'
  // requests.
  small_fleet fleet(2, 1, 4, 1);
  ASSERT_TRUE(fleet.start());
  for (int each = 1; each <= 4; ++each) {
    fleet.crash_on("plain-" + std::to_string(each), "poison");
  }
  const auto send = [&fleet](int router, const std::string& attempt) {
    return fleet.raw(router,
                     "POST /plain/x HTTP/1.1\r\nHost: valves.example\r\n"
                     "Connection: close\r\nBoragehill-Attempt-Id: " +
                         attempt + "\r\nContent-Length: 6\r\n\r\npoison");
  };
  for (int each = 0; each < 3; ++each) {
    const auto answer = send(1 + each % 2, "c" + std::to_string(each));
    EXPECT_NE(answer.find(" 502 "), std::string::npos) << answer;
  }
  std::this_thread::sleep_for(milliseconds(1000));
  for (const int router : {1, 2}) {
    const auto answer = send(router, "late-" + std::to_string(router));
    EXPECT_NE(answer.find(" 503 "), std::string::npos) << answer;
    EXPECT_NE(answer.find("1009 "), std::string::npos) << answer;
    EXPECT_EQ(answer.find("Retry-After"), std::string::npos) << answer;
  }
  int alive = 0;
  for (int each = 1; each <= 4; ++each) {
    if (fleet["plain-" + std::to_string(each)].is_running()) ++alive;
  }
  EXPECT_EQ(alive, 1);
  const auto other = fleet.call(1, "innocent", {});
  ASSERT_TRUE(other);
  EXPECT_EQ(other->status, 200) << other->body;
}

TEST(calm_day_test, callers_of_a_service_without_servers_are_told_at_once) {
  // The only server of a service crashes. Its callers were held for ten seconds
  // each, until their limit, and were told then that nobody was there.
  small_fleet fleet(1, 1, 1, 1);
  ASSERT_TRUE(fleet.start());
  fleet["plain-1"].kill();
  for (int each = 0; each < 3; ++each) {
    const auto begin = steady_clock::now();
    const auto answer = fleet.call(1, "n" + std::to_string(each), {});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 503) << answer->body;
    EXPECT_GT(std::stod(answer->get_header_value("Retry-After")), 0);
    EXPECT_LT(steady_clock::now() - begin, milliseconds(1000));
  }
}

TEST(calm_day_test, a_router_that_wakes_serves_what_came_on_idle_connections) {
  // A router is paused for longer than connections may be idle, and callers
  // send on theirs meanwhile. When it woke it read and sent the requests on,
  // then saw that the connections had been idle for too long and closed them:
  // the requests ran and their callers heard nothing.
  small_fleet fleet(1, 1, 2, 1);
  ASSERT_TRUE(fleet.start());
  constexpr int callers = 8;
  std::vector<std::unique_ptr<httplib::Client>> clients;
  const auto router = fleet.caller_address(1);
  const auto send = [&clients](int caller, const std::string& attempt) {
    const httplib::Headers headers{{"Host", "valves.example"},
                                   {"Boragehill-Attempt-Id", attempt},
                                   {"Boragehill-Deadline-Ms", "5000"}};
    return clients[caller]->Post("/plain/x", headers, "?", "text/plain");
  };
  for (int each = 0; each < callers; ++each) {
    clients.push_back(
        std::make_unique<httplib::Client>(router.address, router.port));
    clients.back()->set_keep_alive(true);
    ASSERT_TRUE(send(each, "first-" + std::to_string(each)));
  }
  fleet["router-1"].signal(SIGSTOP);
  std::vector<std::thread> threads;
  threads.reserve(callers);
  std::atomic<int> answered{0};
  for (int each = 0; each < callers; ++each) {
    threads.emplace_back([&, each] {
      const auto answer = send(each, "second-" + std::to_string(each));
      if (answer && answer->status == 200) ++answered;
    });
  }
  std::this_thread::sleep_for(milliseconds(2000));
  fleet["router-1"].signal(SIGCONT);
  for (auto& each : threads) each.join();
  EXPECT_EQ(answered, callers);
}

TEST(calm_day_test, another_server_answers_where_one_fails) {
  // A catalogue server fails a part of its lookups while it says that it is
  // well. A lookup may be repeated, and a title that is held isn't shown as
  // missing; an order may not, and its caller gets the failure.
  small_fleet fleet(1, 1, 2, 1);
  ASSERT_TRUE(fleet.start());
  const auto fail = [&fleet](const char* server, int count) {
    fleet.fault(server, R"({"kind":"none"})");
    fleet.fault(server, R"({"kind":"fail_runs","count":)" +
                            std::to_string(count) + "}");
  };
  fail("plain-1", 1000);
  ASSERT_TRUE(fleet.wait_for_retries(1, 13));
  for (int each = 0; each < 12; ++each) {
    const auto attempt = "lookup-" + std::to_string(each);
    const auto answer = fleet.call(1, attempt, {}, "/lookup/x");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200) << answer->body;
    EXPECT_LE(fleet.runs_of(attempt), 2);
  }
  fail("plain-2", 1000);
  const auto all_fail = fleet.call(1, "lookup-all", {}, "/lookup/x");
  ASSERT_TRUE(all_fail);
  EXPECT_EQ(all_fail->status, 500);
  EXPECT_EQ(all_fail->body, "failed");
  EXPECT_EQ(fleet.runs_of("lookup-all"), 2);
  const auto order = fleet.call(1, "order", {});
  ASSERT_TRUE(order);
  EXPECT_EQ(order->status, 500);
  EXPECT_EQ(fleet.runs_of("order"), 1);
}

TEST(calm_day_test, a_planned_stop_under_load_cuts_off_nothing) {
  // Callers go on connecting to a router that stops, to its last moment. Each
  // request is answered, refused, or never read; none runs and is cut off.
  small_fleet fleet(1, 1, 2, 1);
  ASSERT_TRUE(fleet.start());
  std::atomic<bool> over{false};
  std::atomic<int> answered{0};
  std::vector<std::string> lost;
  std::thread caller([&] {
    for (int each = 0; !over; ++each) {
      const std::string attempt = "l" + std::to_string(each);
      const auto answer = fleet.call(1, attempt, {});
      if (answer) ++answered;
      if (!answer && answer.error() == httplib::Error::Read) {
        lost.push_back(attempt);
      }
    }
  });
  std::this_thread::sleep_for(milliseconds(200));
  fleet["router-1"].signal(SIGTERM);
  while (fleet["router-1"].is_running()) {
    std::this_thread::sleep_for(milliseconds(20));
  }
  over = true;
  caller.join();
  EXPECT_GT(answered, 10);
  for (const auto& each : lost) EXPECT_EQ(fleet.runs_of(each), 0) << each;
}

TEST(calm_day_test, a_planned_stop_cuts_off_nothing) {
  // A router is stopped while streams run on it: it leaves the rotation first,
  // serves on, and goes when the last answer is out.
  small_fleet fleet(1, 1, 1, 1);
  ASSERT_TRUE(fleet.start());
  std::thread stop([&fleet] {
    std::this_thread::sleep_for(milliseconds(80));
    fleet["router-1"].signal(SIGTERM);
  });
  EXPECT_TRUE(is_whole_stream(fleet.call(1, "t0", "model-1", "/stream/x")));
  stop.join();
  EXPECT_FALSE(fleet.is_ready(1));
  const auto late = fleet.call(1, "t1", {});
  ASSERT_TRUE(late);
  EXPECT_EQ(late->status, 200);
  EXPECT_TRUE(fleet["router-1"].stop());
}

}  // namespace
}  // namespace boragehill::fleet_test
