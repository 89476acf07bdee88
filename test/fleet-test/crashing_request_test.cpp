#include <atomic>
#include <chrono>
#include <cstddef>
#include <gtest/gtest.h>
#include <string>
#include <thread>
#include <vector>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;

constexpr auto marker = "poison";
constexpr int routers = 2;
constexpr int plains = 6;
constexpr int crash_limit = 3;
/// All routers refuse a request within this after its third crash.
constexpr milliseconds known_everywhere{1000};
constexpr milliseconds between_calls{150};
/// So long after its third crash a request may be sent without a limit.
constexpr milliseconds unlimited_for{3000};
/// How often it may be sent to servers after that.
constexpr int most_late_sends = 3;

std::string send_to(small_fleet& fleet, int router, const std::string& attempt,
                    const std::string& body, const std::string& source = {}) {
  return fleet.raw(router,
                   "POST /plain/x HTTP/1.1\r\nHost: valves.example\r\n"
                   "Connection: close\r\nBoragehill-Attempt-Id: " +
                       attempt + "\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body,
                   source);
}

/// A fleet whose plain servers may be told to end when they get a certain
/// request, which comes again and again at any router.
class crashing_request_test : public testing::Test {
 protected:
  crashing_request_test() : fleet(routers, 1, plains, 1) {}

  void SetUp() override { ASSERT_TRUE(this->fleet.start()); }

  void set_fault(const std::string& json) {
    for (int each = 1; each <= plains; ++each) {
      this->fleet.fault(numbered("plain", each), json);
    }
  }

  /// Lets the servers end from now on, and do nothing else that is wrong.
  void begin_to_crash() {
    this->set_fault(R"({"kind":"none"})");
    this->set_fault(R"({"kind":"crash_on","marker":"poison"})");
  }

  /// Sends the request once more.
  /// \param source The caller's address; any if empty.
  std::string send(int router, const std::string& source = {}) {
    return send_to(this->fleet, router, numbered("call", ++this->sent), marker,
                   source);
  }

  void send_everywhere(const std::string& status) {
    for (int router = 1; router <= routers; ++router) {
      const auto answer = this->send(router);
      EXPECT_NE(answer.find(" " + status + " "), std::string::npos) << answer;
    }
  }

  /// Crashes as many servers as it takes to know the request.
  void crash_servers() {
    for (int each = 0; each < crash_limit; ++each) {
      const auto answer = this->send(1 + each % routers);
      EXPECT_NE(answer.find(" 502 "), std::string::npos) << answer;
      std::this_thread::sleep_for(between_calls);
    }
    std::this_thread::sleep_for(known_everywhere);
  }

  void expect_refused_everywhere() {
    for (int router = 1; router <= routers; ++router) {
      const auto answer = this->send(router);
      EXPECT_NE(answer.find(" 503 "), std::string::npos) << answer;
      EXPECT_NE(answer.find("1009 "), std::string::npos) << answer;
    }
    int ended = 0;
    for (int each = 1; each <= plains; ++each) {
      if (!this->fleet[numbered("plain", each)].is_running()) ++ended;
    }
    EXPECT_EQ(ended, crash_limit);
  }

  small_fleet fleet;
  int sent = 0;
};

// Guards against a server's own failure that is taken for proof that a request
// is harmless.
TEST_F(crashing_request_test, refuses_a_request_whose_earlier_runs_failed) {
  this->set_fault(R"({"kind":"fail_runs","count":1000})");
  this->send_everywhere("500");
  this->begin_to_crash();
  this->crash_servers();
  this->expect_refused_everywhere();
}

// Guards against a complete response from before the crashes that is taken for
// proof that a request is harmless.
TEST_F(crashing_request_test, refuses_a_request_that_used_to_complete) {
  this->send_everywhere("200");
  this->begin_to_crash();
  this->crash_servers();
  this->expect_refused_everywhere();
}

// Guards against quarantines that are lost with the memory of all routers.
TEST_F(crashing_request_test, refuses_it_after_a_restart_of_all_routers) {
  this->begin_to_crash();
  this->crash_servers();
  for (int router = 1; router <= routers; ++router) {
    this->fleet[numbered("router", router)].kill();
  }
  for (int router = 1; router <= routers; ++router) {
    this->fleet[numbered("router", router)].start();
  }
  for (int router = 1; router <= routers; ++router) {
    ASSERT_TRUE(this->fleet.wait_until_ready(router, milliseconds(5000)));
  }
  this->expect_refused_everywhere();
}

// Guards against a request that crashes three servers for each address from
// which it comes.
TEST_F(crashing_request_test, refuses_it_from_whichever_address_it_comes) {
  this->begin_to_crash();
  for (int each = 0; each < plains; ++each) {
    if (each == crash_limit) std::this_thread::sleep_for(known_everywhere);
    this->send(1 + each % routers, "127.0.77." + std::to_string(each + 1));
    std::this_thread::sleep_for(between_calls);
  }
  this->expect_refused_everywhere();
}

// Guards against the loss of requests that complete and are interrupted by
// turns.
TEST_F(crashing_request_test, serves_a_request_that_completes_in_between) {
  for (int each = 0; each < 2 * crash_limit; ++each) {
    this->set_fault(R"({"kind":"lose_answers","count":1000})");
    this->send_everywhere("502");
    this->set_fault(R"({"kind":"none"})");
    std::this_thread::sleep_for(between_calls);
    this->send_everywhere("200");
  }
  std::this_thread::sleep_for(known_everywhere);
  this->send_everywhere("200");
}

// Guards against a sound request that many callers send and that is refused
// since servers were lost under it.
TEST_F(crashing_request_test,
       serves_a_popular_request_though_servers_are_lost) {
  std::atomic<bool> over = false;
  constexpr int sources = 6;
  std::vector<std::thread> callers;
  callers.reserve(sources);
  for (int each = 0; each < sources; ++each) {
    callers.emplace_back([this, each, &over] {
      const auto source = "127.0.77." + std::to_string(each + 1);
      for (int call = 0; !over; ++call) {
        const auto attempt = numbered("beside-" + std::to_string(each), call);
        send_to(this->fleet, 1 + each % routers, attempt, marker, source);
      }
    });
  }
  this->fleet.fault("plain-4", R"({"kind":"lose_answers","count":1000})");
  for (int each = 1; each <= crash_limit; ++each) {
    std::this_thread::sleep_for(between_calls);
    this->fleet[numbered("plain", each)].kill();
  }
  std::this_thread::sleep_for(known_everywhere);
  this->fleet.fault("plain-4", R"({"kind":"none"})");
  over = true;
  for (auto& each : callers) each.join();
  this->send_everywhere("200");
}

/// A fleet with one plain server, which ends under several requests, some time
/// after it begins them, and is back each time.
class crashing_together_test : public testing::Test {
 protected:
  crashing_together_test() : fleet(routers, 1, 1, 1) {
    this->fleet.crash_servers_on("poison", false, run_before_crash);
  }

  void SetUp() override { ASSERT_TRUE(this->fleet.start()); }

  std::string send(int router, const std::string& body) {
    return send_to(this->fleet, router, numbered("call", ++this->sent), body);
  }

  /// Sends requests at the same moment, each to another router, and starts the
  /// server again that ends under them.
  void crash_with(const std::vector<std::string>& bodies) {
    std::vector<std::thread> callers;
    callers.reserve(bodies.size());
    for (const auto& each : bodies) {
      const int router = 1 + static_cast<int>(callers.size()) % routers;
      const auto attempt = numbered("call", ++this->sent);
      callers.emplace_back([this, router, attempt, each] {
        send_to(this->fleet, router, attempt, each);
      });
    }
    for (auto& each : callers) each.join();
    EXPECT_FALSE(this->fleet["plain-1"].is_running());
    this->fleet.forget_server(this->id);
    this->id = numbered("i-again", this->sent);
    this->fleet.replace_plain(1, this->id);
    std::this_thread::sleep_for(known_everywhere);
  }

  static constexpr milliseconds run_before_crash{600};
  small_fleet fleet;
  std::string id = "i-plain-1";
  int sent = 0;
};

// Guards against a request that ends servers again and again, as each crash
// counts for another one that was in flight there, too.
TEST_F(crashing_together_test, refuses_each_request_that_ends_servers) {
  this->crash_with({"poison-1", "poison"});
  this->crash_with({"poison-1", "poison"});
  this->crash_with({"poison-1"});
  // By the other router: none has seen three of its crashes by itself.
  this->crash_with({"poison", "poison-2"});
  this->crash_with({"poison", "poison-2"});
  for (int router = 1; router <= routers; ++router) {
    for (const char* body : {"poison-1", "poison"}) {
      const auto answer = this->send(router, body);
      EXPECT_NE(answer.find("1009 "), std::string::npos) << answer;
    }
  }
  EXPECT_TRUE(this->fleet["plain-1"].is_running());
}

/// A fleet whose plain servers end when they get a certain request, which
/// several callers send at the same moment.
class crashing_copies_test : public testing::Test {
 protected:
  static constexpr int servers = 14;

  crashing_copies_test()
      : fleet(routers, 1, servers, 1, 0, false, 1, "poison") {}

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    // All copies that are sent at once run when the first server ends.
    for (int each = 1; each <= servers; ++each) {
      this->fleet.fault(numbered("plain", each), R"({"kind":"slow","ms":200})");
    }
  }

  /// Sends copies at once, each from another address; returns when all have
  /// their responses.
  void send_copies(int count) {
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(count));
    for (int each = 0; each < count; ++each) {
      const auto attempt = numbered("copy", ++this->sent);
      const auto source = "127.0.77." + std::to_string(this->sent);
      callers.emplace_back([this, each, attempt, source] {
        send_to(this->fleet, 1 + each % routers, attempt, marker, source);
      });
    }
    for (auto& each : callers) each.join();
  }

  int ended() {
    int count = 0;
    for (int each = 1; each <= servers; ++each) {
      if (!this->fleet[numbered("plain", each)].is_running()) ++count;
    }
    return count;
  }

  small_fleet fleet;
  int sent = 0;
};

// Guards against copies of a request that end a server each, as all of them are
// sent before the crash of the first is known.
TEST_F(crashing_copies_test, sends_few_copies_after_a_crash) {
  this->send_copies(crash_limit);
  std::this_thread::sleep_for(unlimited_for);
  const int early = this->ended();
  EXPECT_GE(early, 1);
  this->send_copies(servers - crash_limit);
  EXPECT_LE(this->ended() - early, most_late_sends);
}

}  // namespace
}  // namespace boragehill::fleet_test
