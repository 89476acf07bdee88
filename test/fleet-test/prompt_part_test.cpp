#include <atomic>
#include <chrono>
#include <gtest/gtest.h>
#include <httplib.h>
#include <string>
#include <thread>

#include "fleet-test/small_fleet.hpp"

namespace boragehill::fleet_test {
namespace {

using std::chrono::milliseconds;

constexpr int routers = 2;
constexpr int workers = 8;
/// Servers that may end before the part is known.
constexpr int most_ended = 5;
constexpr auto crash_on_part = R"({"kind":"crash_on_part","part":"bad1"})";
const std::string poison_part = "bad1";

/// A fleet whose workers end when they begin to respond to a prompt with a
/// certain part.
class prompt_part_test : public testing::Test {
 protected:
  prompt_part_test() : fleet(routers, workers, 1, workers) {}

  void SetUp() override {
    ASSERT_TRUE(this->fleet.start());
    for (int each = 1; each <= workers; ++each) {
      this->fleet.fault(numbered("worker", each), crash_on_part);
    }
  }

  /// Sends a request whose prompt shares its first part with all others.
  httplib::Result ask(int router, const std::string& part,
                      const std::string& attempt) const {
    const auto address = this->fleet.caller_address(router);
    httplib::Client client(address.address, address.port);
    client.set_read_timeout(std::chrono::seconds(6));
    const httplib::Headers headers{
        {"Host", "valves.example"},
        {"Boragehill-Attempt-Id", attempt},
        {"Boragehill-Deadline-Ms", "5000"},
        {"Boragehill-Prompt-Prefix", "f0:10," + part + ":5," + attempt + ":3"}};
    return client.Post("/stream/" + attempt, headers, attempt, "text/plain");
  }

  int ended() {
    int count = 0;
    for (int each = 1; each <= workers; ++each) {
      if (!this->fleet[numbered("worker", each)].is_running()) ++count;
    }
    return count;
  }

  /// Sends prompts with the crashing part to the routers in turn.
  void send_poison(int count, milliseconds gap) {
    for (int each = 0; each < count; ++each) {
      const auto attempt = numbered("poison", ++this->sent);
      this->ask(1 + each % routers, poison_part, attempt);
      std::this_thread::sleep_for(gap);
    }
  }

  /// Expects sound prompts to be answered, and others to be refused at once.
  void expect_only_poison_refused() {
    for (int each = 0; each < 20; ++each) {
      const auto attempt = numbered("sound", each);
      const auto answer =
          this->ask(1 + each % routers, "ab" + std::to_string(each), attempt);
      ASSERT_TRUE(answer) << attempt;
      EXPECT_EQ(answer->status, 200) << attempt << ": " << answer->body;
    }
    for (int each = 1; each <= routers; ++each) {
      const auto attempt = numbered("refused", each);
      const auto answer = this->ask(each, poison_part, attempt);
      ASSERT_TRUE(answer) << attempt;
      EXPECT_EQ(answer->status, 503) << answer->body;
      EXPECT_EQ(this->fleet.all_runs()[attempt], 0);
    }
  }

  small_fleet fleet;
  int sent = 0;
};

/// Sends sound prompts beside until it is destroyed.
class sound_traffic {
 public:
  template <class Ask>
  explicit sound_traffic(Ask ask)
      : thread([this, ask] {
          for (int each = 0; !this->over; ++each) {
            ask(each);
            std::this_thread::sleep_for(milliseconds(20));
          }
        }) {}

  ~sound_traffic() {
    this->over = true;
    this->thread.join();
  }

 private:
  std::atomic<bool> over = false;
  std::thread thread;
};

// Guards against requests that crash one server after the other, though no two
// of them are alike.
TEST_F(prompt_part_test, ends_no_more_servers_than_it_takes_to_find_it) {
  {
    const sound_traffic beside([this](int each) {
      this->ask(1 + each % routers, "cd" + std::to_string(each % 3),
                numbered("beside", each));
    });
    this->send_poison(12, milliseconds(400));
  }
  EXPECT_LE(this->ended(), most_ended);
  if (this->ended() < workers) this->expect_only_poison_refused();
}

// Guards against crashes that are forgotten with the planner.
TEST_F(prompt_part_test, finds_it_though_the_planner_is_lost) {
  this->send_poison(2, milliseconds(400));
  const auto lost = this->fleet.planner();
  ASSERT_FALSE(lost.empty());
  this->fleet[lost].kill();
  this->send_poison(8, milliseconds(400));
  this->fleet[lost].start();
  ASSERT_TRUE(this->fleet.wait_until_ready(lost == "router-1" ? 1 : 2,
                                           milliseconds(5000)));
  std::this_thread::sleep_for(milliseconds(1000));
  EXPECT_LE(this->ended(), most_ended);
  if (this->ended() < workers) this->expect_only_poison_refused();
}

// Guards against parts that are refused since servers that live truncate their
// responses.
TEST_F(prompt_part_test, takes_no_truncated_response_for_a_crash) {
  for (int each = 1; each <= workers; ++each) {
    this->fleet.fault(numbered("worker", each),
                      R"({"kind":"cut_stream","count":1000})");
  }
  for (int each = 0; each < 24; ++each) {
    const auto answer =
        this->ask(1 + each % routers, "ab", numbered("cut", each));
    EXPECT_FALSE(answer) << answer->status << answer->body;
    std::this_thread::sleep_for(milliseconds(60));
  }
  for (int each = 1; each <= workers; ++each) {
    this->fleet.fault(numbered("worker", each), R"({"kind":"none"})");
  }
  for (int each = 0; each < 10; ++each) {
    const auto answer =
        this->ask(1 + each % routers, "ab", numbered("whole", each));
    ASSERT_TRUE(answer) << each;
    EXPECT_EQ(answer->status, 200) << answer->body;
  }
}

}  // namespace
}  // namespace boragehill::fleet_test
