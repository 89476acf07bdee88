#include <chrono>
#include <gtest/gtest.h>
#include <string>
#include <thread>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// A request that waits at the router for model-5, whose load takes longer than
/// its caller bears.
class waiting_request {
 public:
  void begin() {
    ASSERT_TRUE(this->fleet.start());
    for (int each = 1; each <= workers; ++each) {
      this->fleet.fault(numbered("worker", each),
                        R"({"kind":"slow_loads","ms":3000})");
    }
    this->thread = std::thread([this] {
      const auto begin = steady_clock::now();
      this->answer = this->send("waits", "model-5");
      this->took = steady_clock::now() - begin;
    });
    std::this_thread::sleep_for(milliseconds(50));
  }

  std::string send(const std::string& attempt, const std::string& model) {
    return this->fleet.raw(1,
                           "POST /stream/x HTTP/1.1\r\nHost: valves.example\r\n"
                           "Connection: close\r\nBoragehill-Model: " +
                               model + "\r\nBoragehill-Attempt-Id: " + attempt +
                               "\r\nContent-Length: 6\r\n\r\npoison");
  }

  /// Expects that it was refused soon, with this code.
  void expect_refused(const std::string& code) {
    this->thread.join();
    EXPECT_TRUE(this->answer.starts_with("HTTP/1.1 503 ")) << this->answer;
    EXPECT_NE(this->answer.find("\r\n\r\n" + code + " "), std::string::npos)
        << this->answer;
    // Sooner than it would be refused for its wait.
    EXPECT_LT(this->took, milliseconds(1500));
    EXPECT_EQ(this->fleet.all_runs().count("waits"), 0U);
  }

  static constexpr int workers = 4;
  small_fleet fleet{1, workers, 1, 5};

 private:
  std::thread thread;
  std::string answer;
  steady_clock::duration took{};
};

TEST(waiting_request_test, is_refused_once_it_is_known_to_crash_servers) {
  // Guards against another crash by a request that waited when it was
  // convicted.
  waiting_request waiting;
  ASSERT_NO_FATAL_FAILURE(waiting.begin());
  for (int each = 1; each <= 3; ++each) {
    waiting.fleet.crash_on(numbered("worker", each), "poison");
  }
  for (int each = 1; each <= 3; ++each) {
    waiting.send("crash-" + std::to_string(each), numbered("model", each));
  }
  waiting.expect_refused("1009");
}

TEST(waiting_request_test, is_refused_once_its_model_is_not_configured) {
  // Guards against callers that wait in vain for a model that was taken out.
  waiting_request waiting;
  ASSERT_NO_FATAL_FAILURE(waiting.begin());
  constexpr int without_the_last = 4;
  waiting.fleet.configure(2, "/plain/", without_the_last);
  waiting.expect_refused("1002");
}

}  // namespace
}  // namespace boragehill::fleet_test
