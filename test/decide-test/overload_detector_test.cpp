#include "decide/overload_detector.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

constexpr double link_mbps = 10;
constexpr std::uint64_t link_bytes_per_ms = 1250;
constexpr milliseconds interval{50};

class overload_detector_test : public testing::Test {
 protected:
  /// Takes the next sample; `received` and `sent` are shares of the link.
  void sample(milliseconds delay, bool queued = false, double received = 0,
              double sent = 0) {
    const auto time = interval + delay;
    const auto bytes = static_cast<double>(link_bytes_per_ms * time.count());
    this->last.at += time;
    this->last.delay = delay;
    this->last.queued = queued;
    this->last.received += static_cast<std::uint64_t>(bytes * received);
    this->last.sent += static_cast<std::uint64_t>(bytes * sent);
    this->detector.on_sample(this->last);
  }

  overload_detector detector{link_mbps};
  load_sample last;
};

TEST_F(overload_detector_test, takes_a_single_delay_for_a_burst_or_a_pause) {
  this->sample(milliseconds(0));
  this->sample(milliseconds(3000));
  EXPECT_FALSE(this->detector.cause());
  this->sample(milliseconds(0));
  this->sample(milliseconds(60));
  EXPECT_FALSE(this->detector.cause());
}

TEST_F(overload_detector_test, finds_a_delay_that_stands_until_it_is_gone) {
  this->sample(milliseconds(60));
  this->sample(milliseconds(70));
  EXPECT_EQ(this->detector.cause(), overload_cause::processor);
  EXPECT_EQ(this->detector.standing_delay(), milliseconds(60));
  this->sample(milliseconds(40));
  EXPECT_EQ(this->detector.cause(), overload_cause::processor);
  this->sample(milliseconds(10));
  EXPECT_FALSE(this->detector.cause());
}

TEST_F(overload_detector_test, finds_a_queue_that_stands) {
  this->sample(milliseconds(0), true);
  EXPECT_FALSE(this->detector.cause());
  this->sample(milliseconds(0), true);
  EXPECT_EQ(this->detector.cause(), overload_cause::processor);
  EXPECT_TRUE(this->detector.queue_stands());
  EXPECT_FALSE(this->detector.delay_stands());
  this->sample(milliseconds(0), false);
  EXPECT_FALSE(this->detector.cause());
}

TEST_F(overload_detector_test, finds_a_link_that_is_full_in_either_direction) {
  for (int each = 0; each < 4; ++each) this->sample(milliseconds(0));
  EXPECT_FALSE(this->detector.cause());
  for (int each = 0; each < 5; ++each) {
    this->sample(milliseconds(0), false, 0.1, 0.9);
  }
  EXPECT_EQ(this->detector.cause(), overload_cause::link);
  EXPECT_NEAR(this->detector.link_share(), 0.9, 0.01);
  for (int each = 0; each < 5; ++each) {
    this->sample(milliseconds(0), false, 0.1, 0.6);
  }
  EXPECT_EQ(this->detector.cause(), overload_cause::link);
  for (int each = 0; each < 5; ++each) {
    this->sample(milliseconds(0), false, 0.1, 0.5);
  }
  EXPECT_FALSE(this->detector.cause());
  for (int each = 0; each < 5; ++each) {
    this->sample(milliseconds(0), false, 0.9, 0.1);
  }
  EXPECT_EQ(this->detector.cause(), overload_cause::link);
}

TEST_F(overload_detector_test, leaves_out_a_pause_from_the_use_of_the_link) {
  for (int each = 0; each < 5; ++each) {
    this->sample(milliseconds(0), false, 0.5, 0.5);
  }
  this->sample(milliseconds(5000));
  EXPECT_LT(this->detector.link_share(), 0.1);
  EXPECT_FALSE(this->detector.cause());
}

TEST(overload_of_unknown_link_test, never_finds_an_unknown_link_full) {
  overload_detector detector(0);
  load_sample sample;
  for (int each = 0; each < 10; ++each) {
    sample.at += interval;
    sample.sent += 1000000;
    detector.on_sample(sample);
  }
  EXPECT_FALSE(detector.cause());
}

}  // namespace
}  // namespace boragehill::decide
