#include <chrono>
#include <csignal>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;

/// A request for a model that nobody holds waits in a router, which is stopped
/// before the model is there and wakes after.
class waking_router {
 public:
  /// \param deadline_ms How long the caller gives its request.
  void begin(int deadline_ms) {
    ASSERT_TRUE(this->fleet.start());
    const int planner = this->fleet.planner() == "router-1" ? 1 : 2;
    this->router = 3 - planner;
    // Leaves a connection to the worker, on which a request goes out at once.
    ASSERT_EQ(
        this->fleet.call(this->router, "warm", "model-1", "/stream/x")->status,
        200);
    this->caller = this->fleet.connect(this->router);
    const std::string request =
        "POST /stream/x HTTP/1.1\r\nHost: valves.example\r\n"
        "Boragehill-Model: model-3\r\nBoragehill-Attempt-Id: waits\r\n"
        "Boragehill-Deadline-Ms: " +
        std::to_string(deadline_ms) + "\r\nContent-Length: 1\r\n\r\n?";
    ASSERT_EQ(::send(this->caller, request.data(), request.size(), 0),
              static_cast<ssize_t>(request.size()));
    std::this_thread::sleep_for(milliseconds(60));
    this->process().signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(800));
    const auto models = this->fleet.truth("worker-1")["models"];
    const bool loaded =
        models[0]["name"] == "model-3" || models[1]["name"] == "model-3";
    ASSERT_TRUE(loaded) << models;
  }

  void wake() {
    this->process().signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds(500));
  }

  /// \return All that comes until nothing more does.
  std::string answer() {
    std::string all;
    char bytes[4096];
    for (;;) {
      const auto size =
          ::recv(this->caller, bytes, sizeof(bytes), MSG_DONTWAIT);
      if (size <= 0) return all;
      all.append(bytes, static_cast<std::size_t>(size));
    }
  }

  void hang_up() { ::close(std::exchange(this->caller, -1)); }

  int runs() { return this->fleet.runs_of("waits"); }

 private:
  process_test::process& process() {
    return this->fleet["router-" + std::to_string(this->router)];
  }

  static constexpr int keep_alive_s = 3;
  small_fleet fleet{2, 1, 1, 3, 0, false, keep_alive_s};
  int router = 0;
  int caller = -1;
};

TEST(waking_router_test, sends_on_no_request_whose_caller_has_left) {
  // A request waits for its model. The router's processor is taken away for a
  // while, the model is loaded, and the caller leaves. When the router went on
  // it saw the model before it saw the caller's close, and sent the request to
  // the worker, which ran it for nobody.
  waking_router router;
  ASSERT_NO_FATAL_FAILURE(router.begin(5000));
  router.hang_up();
  router.wake();
  EXPECT_EQ(router.runs(), 0);
}

TEST(waking_router_test, sends_on_no_request_whose_time_is_over) {
  // As above, but the caller is still there when its time is over: it is told
  // that nothing ran, and nothing does.
  waking_router router;
  ASSERT_NO_FATAL_FAILURE(router.begin(700));
  router.wake();
  EXPECT_EQ(router.runs(), 0);
  EXPECT_NE(router.answer().find("HTTP/1.1 503 "), std::string::npos);
  router.hang_up();
}

/// A router that is paused while what it would send on loses its caller.
class paused_router {
 public:
  void begin() {
    ASSERT_TRUE(this->fleet.start());
    ASSERT_EQ(this->fleet.call(1, "warm", "model-1", "/stream/x")->status, 200);
  }

  /// Sends a request whose caller has not left yet.
  void send(const std::string& attempt, const std::string& path,
            const std::string& model) {
    const int caller = this->fleet.connect(1);
    const std::string request =
        "POST " + path +
        " HTTP/1.1\r\nHost: valves.example\r\n"
        "Boragehill-Model: " +
        model + "\r\nBoragehill-Attempt-Id: " + attempt +
        "\r\nBoragehill-Deadline-Ms: 5000\r\nContent-Length: 1\r\n\r\n?";
    ASSERT_EQ(::send(caller, request.data(), request.size(), 0),
              static_cast<ssize_t>(request.size()));
    this->callers[attempt] = caller;
  }

  /// \return True if any byte of an answer came within 300 ms.
  bool is_answered(const std::string& attempt) {
    const timeval limit{.tv_sec = 0, .tv_usec = 300000};
    const int caller = this->callers.at(attempt);
    ::setsockopt(caller, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    char byte = 0;
    return ::recv(caller, &byte, 1, MSG_PEEK) > 0;
  }

  void pause() { this->fleet["router-1"].signal(SIGSTOP); }

  void hang_up() {
    for (const auto& [attempt, caller] : this->callers) ::close(caller);
    this->callers.clear();
  }

  void wake() {
    std::this_thread::sleep_for(milliseconds(100));
    this->fleet["router-1"].signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds(500));
  }

  small_fleet fleet{1, 1, 2, 2};

 private:
  std::map<std::string, int> callers;
};

TEST(waking_router_test, sends_on_no_new_request_whose_caller_has_left) {
  // Guards against requests that come and go while the router is paused and
  // are read and sent on all the same.
  paused_router router;
  ASSERT_NO_FATAL_FAILURE(router.begin());
  router.pause();
  for (int each = 0; each < 4; ++each) {
    const auto attempt = "gone-" + std::to_string(each);
    ASSERT_NO_FATAL_FAILURE(router.send(attempt, "/stream/x", "model-1"));
  }
  router.hang_up();
  router.wake();
  for (int each = 0; each < 4; ++each) {
    EXPECT_EQ(router.fleet.runs_of("gone-" + std::to_string(each)), 0) << each;
  }
}

TEST(waking_router_test, repeats_no_request_whose_caller_has_left) {
  // Guards against a repeat, after a server broke off, for a caller that has
  // left while the router was paused.
  paused_router router;
  ASSERT_NO_FATAL_FAILURE(router.begin());
  router.fleet["plain-1"].signal(SIGSTOP);
  // The router chooses at random between idle servers.
  constexpr int most_lookups = 64;
  std::string hanging;
  for (int each = 0; each < most_lookups && hanging.empty(); ++each) {
    const auto attempt = "lookup-" + std::to_string(each);
    ASSERT_NO_FATAL_FAILURE(router.send(attempt, "/lookup/x", ""));
    if (!router.is_answered(attempt)) hanging = attempt;
  }
  ASSERT_FALSE(hanging.empty());
  // Leaves a connection to the other server, on which a repeat goes out at
  // once.
  ASSERT_NO_FATAL_FAILURE(router.send("warm-lookup", "/lookup/x", ""));
  ASSERT_TRUE(router.is_answered("warm-lookup"));
  router.pause();
  router.fleet["plain-1"].kill();
  router.hang_up();
  router.wake();
  EXPECT_EQ(router.fleet.runs_of(hanging), 0);
}

}  // namespace
}  // namespace boragehill::fleet_test
