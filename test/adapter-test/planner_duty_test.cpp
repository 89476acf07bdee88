#include "serve/planner_duty.hpp"

#include <chrono>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>

#include "kernel/event_loop.hpp"
#include "wire/message_link.hpp"
#include "wire/planner_codec.hpp"

namespace boragehill::serve {
namespace {

/// A router's link to a planner, with what came of it.
class router_side {
 public:
  explicit router_side(const endpoint& planner, std::string id = "r-1")
      : loop("router", 64), id(std::move(id)) {
    this->loop.start();
    this->loop.post([this, planner] {
      this->link = std::make_shared<wire::message_link>(this->loop.context());
      this->link->on_events(
          [this](const Json::Value& message) {
            const std::lock_guard<std::mutex> lock(this->guard);
            const auto update = wire::decode_view_update(message);
            this->last_term = update.term;
            this->last_count = update.routers;
            if (update.whole) this->first_limits = update.rate_limits;
          },
          [this] {
            const std::lock_guard<std::mutex> lock(this->guard);
            this->has_ended = true;
          });
      this->link->connect(planner);
      this->link->send(wire::encode(wire::router_report{.router = this->id}));
    });
  }
  ~router_side() { this->loop.stop(); }
  router_side(const router_side&) = delete;
  router_side& operator=(const router_side&) = delete;

  void report() {
    this->loop.post([this] {
      this->link->send(wire::encode(wire::router_report{.router = this->id}));
    });
  }

  bool ended() {
    const std::lock_guard<std::mutex> lock(this->guard);
    return this->has_ended;
  }

  std::int64_t term() {
    const std::lock_guard<std::mutex> lock(this->guard);
    return this->last_term;
  }

  /// Tells the planner that a server named a rate limit.
  void announce_limit(const std::string& server, double per_second) {
    this->loop.post([this, server, per_second] {
      wire::router_report report{.router = this->id};
      report.rate_limits.announcements.push_back({server, per_second});
      this->link->send(wire::encode(report));
    });
  }

  /// \return The rate limits in the first update; nothing if there were none.
  std::optional<std::map<std::string, decide::rate_limit>> told_at_first() {
    const std::lock_guard<std::mutex> lock(this->guard);
    return this->first_limits;
  }

  /// \return The number of routers that it was told last.
  int count() {
    const std::lock_guard<std::mutex> lock(this->guard);
    return this->last_count;
  }

 private:
  kernel::event_loop loop;
  std::string id;
  std::shared_ptr<wire::message_link> link;
  std::mutex guard;
  bool has_ended = false;
  std::int64_t last_term = 0;
  int last_count = 0;
  std::optional<std::map<std::string, decide::rate_limit>> first_limits;
};

entry_settings planner_settings_of_test() {
  entry_settings settings;
  settings.id = "planner";
  constexpr int addresses = 200;
  settings.address =
      "127.91." + std::to_string(getpid() % addresses + 1) + ".1";
  settings.link_port = 21750;
  return settings;
}

bool becomes_true(const std::function<bool()>& condition) {
  constexpr std::chrono::seconds limit(3);
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= until) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

TEST(planner_duty_test,
     keeps_the_links_of_routers_that_know_of_its_lead_first) {
  // After a restart of all processes each new planner closed the links of the
  // routers that had read its row earlier than it had, and was replaced.
  const auto settings = planner_settings_of_test();
  planner_duty planner(settings);
  ASSERT_FALSE(planner.start());
  router_side router(settings.link_address());
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_FALSE(router.ended());
  planner.lead(7, {});
  router.report();
  EXPECT_TRUE(becomes_true([&] { return router.term() == 7; }));
  EXPECT_FALSE(router.ended());
  planner.stop();
}

TEST(planner_duty_test, closes_the_links_of_routers_that_follow_an_old_row) {
  const auto settings = planner_settings_of_test();
  planner_duty planner(settings);
  ASSERT_FALSE(planner.start());
  router_side router(settings.link_address());
  EXPECT_TRUE(becomes_true([&] {
    router.report();
    return router.ended();
  }));
  planner.stop();
}

// Guards against routers that go on with an old number when nothing else is
// news to them.
TEST(planner_duty_test, tells_each_router_when_their_number_changes) {
  const auto settings = planner_settings_of_test();
  planner_duty planner(settings);
  ASSERT_FALSE(planner.start());
  planner.lead(1, {});
  router_side first(settings.link_address());
  EXPECT_TRUE(becomes_true([&] { return first.count() == 1; }));
  {
    router_side second(settings.link_address(), "r-2");
    EXPECT_TRUE(becomes_true([&] { return second.count() == 2; }));
    EXPECT_TRUE(becomes_true([&] { return first.count() == 2; }));
  }
  EXPECT_TRUE(becomes_true([&] { return first.count() == 1; }));
  planner.stop();
}

// Guards against rate limits that are held back while the number changes.
TEST(planner_duty_test, tells_a_new_router_all_rate_limits_at_once) {
  const auto settings = planner_settings_of_test();
  planner_duty planner(settings);
  ASSERT_FALSE(planner.start());
  planner.lead(1, {});
  router_side first(settings.link_address());
  first.announce_limit("w-1", 2);
  EXPECT_TRUE(becomes_true([&] { return first.count() == 1; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  router_side second(settings.link_address(), "r-2");
  EXPECT_TRUE(becomes_true([&] { return second.count() == 2; }));
  const auto told = second.told_at_first();
  ASSERT_TRUE(told);
  EXPECT_TRUE(told->contains("w-1"));
  planner.stop();
}

}  // namespace
}  // namespace boragehill::serve
