#include <chrono>
#include <gtest/gtest.h>
#include <string>
#include <thread>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;

constexpr int routers = 2;
constexpr int workers = 5;
constexpr int crash_limit = 3;
const std::string marker = "poison";
/// An agent has noticed the loss of its worker.
constexpr milliseconds until_lost{700};
/// The worker that came next writes its entry.
constexpr milliseconds until_registered{500};
/// Its agent has told of it, and the store.
constexpr milliseconds until_back{900};

/// A fleet whose model workers end when they get a certain request, and whose
/// successors serve at the same address before the store lists them.
class crashing_worker_test : public testing::Test {
 protected:
  crashing_worker_test() : fleet(routers, workers, 1, workers) {
    this->fleet.hide_starts();
  }

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    for (int each = 1; each <= workers; ++each) {
      this->fleet.crash_on(numbered("worker", each), marker);
    }
  }

  std::string send(int router) {
    return this->fleet.raw(router,
                           "POST /stream/x HTTP/1.1\r\nHost: valves.example\r\n"
                           "Connection: close\r\nBoragehill-Attempt-Id: " +
                               numbered("call", ++this->sent) +
                               "\r\nContent-Length: 6\r\n\r\n" + marker);
  }

  /// Starts the workers that have ended again, under new ids.
  /// \return How many these are.
  int restart_ended() {
    int ended = 0;
    for (int each = 1; each <= workers; ++each) {
      const auto name = numbered("worker", each);
      if (this->fleet[name].is_running()) continue;
      ++ended;
      this->fleet.replace_worker(each, numbered("i-new", ++this->started),
                                 until_registered);
      this->fleet.await_standin(name);
      this->fleet.crash_on(name, marker);
    }
    return ended;
  }

  small_fleet fleet;
  int sent = 0;
  int started = 0;
};

// Guards against crashes that are taken back because another lifetime responds
// at the address of the server that ended.
TEST_F(crashing_worker_test, counts_crashes_of_servers_that_are_back) {
  for (int each = 0; each < crash_limit; ++each) {
    this->send(1 + each % routers);
    std::this_thread::sleep_for(until_lost);
    EXPECT_EQ(this->restart_ended(), 1);
    std::this_thread::sleep_for(until_back);
  }
  for (int router = 1; router <= routers; ++router) {
    const auto answer = this->send(router);
    EXPECT_NE(answer.find("1009 "), std::string::npos) << answer;
  }
  EXPECT_EQ(this->restart_ended(), 0);
}

}  // namespace
}  // namespace boragehill::fleet_test
