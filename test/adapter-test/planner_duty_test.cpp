#include "serve/planner_duty.hpp"

#include <chrono>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
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
            for (const auto& [stream, origin] : update.streams) {
              this->known_streams[stream] = origin;
              ++this->times_told[stream];
            }
            this->unknown_streams.insert(update.unknown_streams.begin(),
                                         update.unknown_streams.end());
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

  /// Tells the planner where a stream began.
  void tell_stream(const std::string& stream, const std::string& software,
                   milliseconds lifetime = milliseconds(60000)) {
    this->loop.post([this, stream, software, lifetime] {
      this->link->send(wire::encode(
          wire::router_report{.router = this->id,
                              .streams = {{stream,
                                           {.service = "assist",
                                            .software = software,
                                            .lifetime = lifetime}}}}));
    });
  }

  /// Asks the planner where a stream began.
  void ask_for(const std::string& stream) {
    this->loop.post([this, stream] {
      this->link->send(wire::encode(
          wire::router_report{.router = this->id, .wanted_streams = {stream}}));
    });
  }

  /// \return What it was told last of a stream, if anything.
  std::optional<decide::stream_origin> stream(const std::string& name) {
    const std::lock_guard<std::mutex> lock(this->guard);
    const auto found = this->known_streams.find(name);
    if (found == this->known_streams.end()) return std::nullopt;
    return found->second;
  }

  /// \return The version that it was told of a stream; empty before.
  std::string version_of(const std::string& stream) {
    const auto origin = this->stream(stream);
    return origin ? origin->software : std::string();
  }

  /// \return How often it was told of a stream.
  int told_of(const std::string& stream) {
    const std::lock_guard<std::mutex> lock(this->guard);
    return this->times_told[stream];
  }

  /// \return True if the planner said that it doesn't know a stream.
  bool is_unknown(const std::string& stream) {
    const std::lock_guard<std::mutex> lock(this->guard);
    return this->unknown_streams.contains(stream);
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
  std::map<std::string, decide::stream_origin> known_streams;
  std::map<std::string, int> times_told;
  std::set<std::string> unknown_streams;
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

/// Longer than a plan's interval, so that what is due has been told.
constexpr std::chrono::milliseconds settle_time{350};

/// A planner that leads, and the router in its process, which keeps no streams
/// for the next one.
class stream_planner {
 public:
  stream_planner() : planner(this->settings) {
    if (this->planner.start()) throw std::runtime_error("address in use");
    this->led_at = std::chrono::steady_clock::now();
    this->planner.lead(1, {});
    this->own.emplace(this->address(), this->settings.id);
    this->expect_count(*this->own, 1);
  }
  ~stream_planner() { this->planner.stop(); }
  stream_planner(const stream_planner&) = delete;
  stream_planner& operator=(const stream_planner&) = delete;

  endpoint address() const { return this->settings.link_address(); }

  /// Links a router and waits until the planner has heard of it.
  std::unique_ptr<router_side> link(const std::string& id, int count) {
    auto router = std::make_unique<router_side>(this->address(), id);
    this->expect_count(*router, count);
    return router;
  }

  entry_settings settings = planner_settings_of_test();
  planner_duty planner;
  std::chrono::steady_clock::time_point led_at;
  std::optional<router_side> own;

 private:
  static void expect_count(router_side& router, int count) {
    EXPECT_TRUE(becomes_true([&] { return router.count() == count; }));
  }
};

// Guards against streams that their callers take up at another router, which
// then goes on anywhere.
TEST(planner_duty_test, tells_a_router_that_asks_of_anothers_stream) {
  stream_planner fleet;
  const auto teller = fleet.link("r-1", 2);
  teller->tell_stream("s-1", "1.2");
  EXPECT_TRUE(becomes_true([&] { return !teller->version_of("s-1").empty(); }));
  EXPECT_FALSE(fleet.own->stream("s-1"));
  fleet.own->ask_for("s-1");
  ASSERT_TRUE(
      becomes_true([&] { return fleet.own->stream("s-1").has_value(); }));
  const auto told = *fleet.own->stream("s-1");
  EXPECT_EQ(told.service, "assist");
  EXPECT_EQ(told.software, "1.2");
  EXPECT_LE(told.lifetime, milliseconds(60000));
  EXPECT_GT(told.lifetime, milliseconds(50000));
  // Each question is answered, and once.
  std::this_thread::sleep_for(settle_time);
  EXPECT_EQ(fleet.own->told_of("s-1"), 1);
  fleet.own->ask_for("s-1");
  EXPECT_TRUE(becomes_true([&] { return fleet.own->told_of("s-1") == 2; }));
  EXPECT_FALSE(fleet.own->is_unknown("s-1"));
}

TEST(planner_duty_test, answers_each_router_that_asks) {
  stream_planner fleet;
  const auto first = fleet.link("r-1", 2);
  const auto second = fleet.link("r-2", 3);
  const auto third = fleet.link("r-3", 4);
  const auto fourth = fleet.link("r-4", 5);
  for (const auto& each : {std::ref(*third), std::ref(*fourth)}) {
    each.get().ask_for("s-1");
  }
  {
    // One that asks and goes is in nobody's way.
    const auto gone = fleet.link("r-5", 6);
    gone->ask_for("s-1");
  }
  fleet.own->tell_stream("s-1", "1.2");
  for (const auto& each : {std::ref(*third), std::ref(*fourth)}) {
    EXPECT_TRUE(
        becomes_true([&] { return each.get().version_of("s-1") == "1.2"; }));
    EXPECT_FALSE(each.get().is_unknown("s-1"));
  }
}

// Guards against a new planner that disowns streams of routers which haven't
// linked yet.
TEST(planner_duty_test, answers_a_question_that_crosses_the_streams_news) {
  stream_planner fleet;
  fleet.own->ask_for("s-1");
  std::this_thread::sleep_for(settle_time);
  EXPECT_FALSE(fleet.own->is_unknown("s-1"));
  const auto teller = fleet.link("r-1", 2);
  teller->tell_stream("s-1", "1.2");
  EXPECT_TRUE(
      becomes_true([&] { return fleet.own->version_of("s-1") == "1.2"; }));
  EXPECT_FALSE(fleet.own->is_unknown("s-1"));
}

TEST(planner_duty_test, disowns_a_stream_once_all_routers_have_told_theirs) {
  stream_planner fleet;
  fleet.own->ask_for("s-1");
  std::chrono::steady_clock::time_point at;
  EXPECT_TRUE(becomes_true([&] {
    at = std::chrono::steady_clock::now();
    return fleet.own->is_unknown("s-1");
  }));
  EXPECT_GE(at - fleet.led_at, std::chrono::milliseconds(1000));
  EXPECT_FALSE(fleet.own->stream("s-1"));
  // It is answered at once from then on, and a later record still counts.
  fleet.own->ask_for("s-2");
  const auto asked_at = std::chrono::steady_clock::now();
  EXPECT_TRUE(becomes_true([&] { return fleet.own->is_unknown("s-2"); }));
  EXPECT_LT(std::chrono::steady_clock::now() - asked_at,
            std::chrono::milliseconds(900));
  fleet.own->tell_stream("s-1", "1.2");
  fleet.own->ask_for("s-1");
  EXPECT_TRUE(
      becomes_true([&] { return fleet.own->version_of("s-1") == "1.2"; }));
}

TEST(planner_duty_test, disowns_a_stream_whose_time_is_over) {
  stream_planner fleet;
  fleet.own->tell_stream("s-1", "1.2", milliseconds(20));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  fleet.own->ask_for("s-1");
  EXPECT_TRUE(becomes_true([&] { return fleet.own->is_unknown("s-1"); }));
  EXPECT_FALSE(fleet.own->stream("s-1"));
}

// Guards against a first record that outlives the send of the request to a
// server of another version.
TEST(planner_duty_test, tells_the_last_version_of_a_stream) {
  stream_planner fleet;
  const auto keeper = fleet.link("r-1", 2);
  fleet.own->tell_stream("s-1", "1.2");
  fleet.own->tell_stream("s-1", "1.3");
  fleet.own->tell_stream("s-1", "1.3");
  fleet.own->ask_for("s-1");
  EXPECT_TRUE(
      becomes_true([&] { return fleet.own->version_of("s-1") == "1.3"; }));
  EXPECT_TRUE(becomes_true([&] { return keeper->version_of("s-1") == "1.3"; }));
}

TEST(planner_duty_test, knows_its_streams_in_a_later_term) {
  stream_planner fleet;
  fleet.own->tell_stream("s-1", "1.2");
  std::this_thread::sleep_for(settle_time);
  fleet.planner.lead(2, {});
  fleet.own->ask_for("s-1");
  EXPECT_TRUE(
      becomes_true([&] { return fleet.own->version_of("s-1") == "1.2"; }));
  // It doesn't know yet what the routers have to tell.
  fleet.own->ask_for("s-2");
  std::this_thread::sleep_for(settle_time);
  EXPECT_FALSE(fleet.own->is_unknown("s-2"));
}

// Guards against streams that are lost with their router and the planner.
TEST(planner_duty_test, tells_two_other_routers_of_all_streams) {
  stream_planner fleet;
  fleet.own->tell_stream("s-1", "1.2");
  fleet.own->tell_stream("s-old", "1.2", milliseconds(1));
  std::this_thread::sleep_for(settle_time);
  const auto first = fleet.link("r-1", 2);
  const auto second = fleet.link("r-2", 3);
  const auto third = fleet.link("r-3", 4);
  third->tell_stream("s-2", "1.3");
  for (const auto& keeper : {std::ref(*first), std::ref(*second)}) {
    EXPECT_TRUE(becomes_true([&] {
      return keeper.get().version_of("s-1") == "1.2" &&
             keeper.get().version_of("s-2") == "1.3";
    }));
  }
  std::this_thread::sleep_for(settle_time);
  for (const char* stream : {"s-1", "s-2"}) {
    EXPECT_EQ(first->told_of(stream), 1) << stream;
    EXPECT_EQ(second->told_of(stream), 1) << stream;
    EXPECT_EQ(third->told_of(stream), 0) << stream;
    EXPECT_EQ(fleet.own->told_of(stream), 0) << stream;
  }
  EXPECT_EQ(first->told_of("s-old"), 0);
}

// Guards against streams that one router is left with.
TEST(planner_duty_test, tells_another_router_of_all_streams_if_one_goes) {
  stream_planner fleet;
  auto first = fleet.link("r-1", 2);
  const auto second = fleet.link("r-2", 3);
  const auto third = fleet.link("r-3", 4);
  fleet.own->tell_stream("s-1", "1.2");
  fleet.own->tell_stream("s-2", "1.3");
  EXPECT_TRUE(becomes_true([&] { return second->told_of("s-2") == 1; }));
  EXPECT_EQ(third->told_of("s-1"), 0);
  first.reset();
  EXPECT_TRUE(becomes_true([&] {
    return third->version_of("s-1") == "1.2" &&
           third->version_of("s-2") == "1.3";
  }));
  fleet.own->tell_stream("s-3", "1.2");
  EXPECT_TRUE(becomes_true([&] { return third->told_of("s-3") == 1; }));
  EXPECT_TRUE(becomes_true([&] { return second->told_of("s-3") == 1; }));
  EXPECT_EQ(second->told_of("s-1"), 1);
  // If the router that went comes back, it is the third.
  first = fleet.link("r-1", 4);
  std::this_thread::sleep_for(settle_time);
  EXPECT_EQ(first->told_of("s-1"), 0);
}

// Guards against a version that the request's router has replaced meanwhile,
// and that comes back with the streams which another router kept.
TEST(planner_duty_test, keeps_the_last_version_though_an_older_one_comes) {
  stream_planner fleet;
  fleet.own->tell_stream("s-1", "1.3", milliseconds(60000));
  fleet.own->ask_for("s-1");
  EXPECT_TRUE(
      becomes_true([&] { return fleet.own->version_of("s-1") == "1.3"; }));
  // Recorded a second earlier, so less of its time is left.
  const auto keeper = fleet.link("r-1", 2);
  keeper->tell_stream("s-1", "1.2", milliseconds(59000));
  std::this_thread::sleep_for(settle_time);
  fleet.own->ask_for("s-1");
  EXPECT_TRUE(becomes_true([&] { return fleet.own->told_of("s-1") == 2; }));
  EXPECT_EQ(fleet.own->version_of("s-1"), "1.3");
}

// Guards against a link that hasn't ended yet and counts as a second keeper.
TEST(planner_duty_test, a_router_with_two_links_keeps_streams_once) {
  stream_planner fleet;
  const auto old_link = fleet.link("r-1", 2);
  const auto new_link = fleet.link("r-1", 2);
  const auto other = fleet.link("r-2", 3);
  fleet.own->tell_stream("s-1", "1.2");
  EXPECT_TRUE(becomes_true([&] { return other->version_of("s-1") == "1.2"; }));
}

}  // namespace
}  // namespace boragehill::serve
