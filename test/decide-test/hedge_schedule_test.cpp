#include "decide/hedge_schedule.hpp"

#include <gtest/gtest.h>
#include <optional>
#include <vector>

namespace boragehill::decide {
namespace {

constexpr milliseconds hold_time{1000};
const time_point begin{std::chrono::seconds(100)};

/// A store that never responds to requests that arrive or are held during a
/// stall, and responds to all others after its latency; polled continuously.
class stalling_store {
 public:
  stalling_store(milliseconds stall_begin, milliseconds stall_end,
                 milliseconds latency)
      : stall_begin(begin + stall_begin),
        stall_end(begin + stall_end),
        latency(latency) {}

  /// \return When the poller gets the first response that was sent after the
  ///     stall.
  time_point first_response_after_the_stall(std::uint64_t random_bits) const {
    time_point sent = begin;
    while (true) {
      const auto received = this->response_to_request(sent, random_bits);
      if (received - this->latency >= this->stall_end) return received;
      sent = received;
    }
  }

 private:
  bool is_stalled(time_point when) const {
    return when >= this->stall_begin && when < this->stall_end;
  }

  /// \return When an attempt gets its response; nothing if it never does.
  std::optional<time_point> response_to_attempt(
      time_point sent, milliseconds request_hold_time) const {
    // The store responds to a poll at once if it has an update, as it has after
    // the stall, and otherwise at the end of the hold time.
    const bool overlaps =
        sent < this->stall_end && sent + request_hold_time >= this->stall_begin;
    if (this->is_stalled(sent) || overlaps) return std::nullopt;
    return sent + request_hold_time + this->latency;
  }

  time_point response_to_request(time_point sent,
                                 std::uint64_t random_bits) const {
    hedge_schedule schedule{{}};
    schedule.on_request_sent(sent, hold_time);
    std::optional<time_point> best = this->response_to_attempt(sent, hold_time);
    while (!best || *best > schedule.next_time()) {
      const auto now = schedule.next_time();
      const auto received = this->response_to_attempt(now, milliseconds(0));
      if (received && (!best || *received < *best)) best = received;
      schedule.on_hedge_sent(now, random_bits);
    }
    return *best;
  }

  time_point stall_begin;
  time_point stall_end;
  milliseconds latency;
};

TEST(hedge_schedule_test,
     notices_the_recovery_of_the_store_in_time_at_any_phase) {
  // A store stalls for some time, and a change is confirmed when it recovers.
  // The poller must receive it within two seconds, whenever the lost poll was
  // sent; with one attempt at a time it took up to 3.7 s.
  for (int from = 0; from < 1100; from += 50) {
    for (int length = 10; length < 7000; length += 130) {
      for (const std::uint64_t random : {0, 150, 300}) {
        const milliseconds until(from + length);
        const stalling_store store(milliseconds(from), until, milliseconds(4));
        const auto noticed = store.first_response_after_the_stall(random);
        EXPECT_LE(noticed - begin, until + milliseconds(1600))
            << "silent from " << from << " for " << length;
      }
    }
  }
}

TEST(hedge_schedule_test, one_late_response_is_no_outage) {
  hedge_schedule schedule{{}};
  schedule.on_request_sent(begin, hold_time);
  EXPECT_EQ(schedule.next_time(), begin + hold_time + milliseconds(500));
  schedule.on_hedge_sent(schedule.next_time(), 0);
  EXPECT_FALSE(schedule.is_store_lost());
  schedule.on_hedge_sent(schedule.next_time(), 0);
  EXPECT_TRUE(schedule.is_store_lost());
}

TEST(hedge_schedule_test, retries_soon_after_an_immediate_failure) {
  // The store closes a persistent connection between two polls. This is no
  // outage of the store, and must not delay the next update.
  hedge_schedule schedule{{}};
  schedule.on_request_sent(begin, hold_time);
  schedule.on_attempt_failed(begin, 50);
  EXPECT_EQ(schedule.next_time(), begin + milliseconds(100));
  EXPECT_TRUE(schedule.is_store_lost());
}

TEST(hedge_schedule_test, limits_retries_at_a_store_that_rejects_calls) {
  // A store rejects calls above its rate limit. All processes retry, and
  // together they must stay below that limit.
  hedge_schedule schedule{{}};
  schedule.on_request_sent(begin, hold_time);
  int attempts = 0;
  time_point now = begin;
  while (now < begin + milliseconds(10000)) {
    schedule.on_attempt_failed(now, static_cast<std::uint64_t>(attempts) * 37);
    now = schedule.next_time();
    schedule.on_hedge_sent(now, static_cast<std::uint64_t>(attempts) * 61);
    ++attempts;
  }
  EXPECT_LE(attempts, 34);
  EXPECT_GE(attempts, 16);
}

/// \return Number of attempts per second of a process that gets no response.
double attempts_per_second(milliseconds request_hold_time) {
  hedge_schedule schedule{{}};
  schedule.on_request_sent(begin, request_hold_time);
  constexpr int attempts = 1000;
  const auto first = schedule.next_time();
  for (std::uint64_t attempt = 0; attempt < attempts; ++attempt) {
    schedule.on_hedge_sent(schedule.next_time(), attempt * 7919);
  }
  return attempts /
         seconds_of(milliseconds(ms_between(first, schedule.next_time())));
}

TEST(hedge_schedule_test,
     a_stalled_store_is_not_overloaded_at_the_design_size) {
  // All processes lose the store at the same time and retry until it recovers.
  // Above its rate limit it would reject them then, and keep rejecting them.
  constexpr double routers = 340;
  constexpr double agents = 600;
  constexpr double max_calls_per_second = 2000;
  const double calls_per_second =
      routers * attempts_per_second(milliseconds(1000)) +
      routers * attempts_per_second(milliseconds(2000)) +
      agents * attempts_per_second(milliseconds(10000));
  EXPECT_LT(calls_per_second, max_calls_per_second * 0.75) << calls_per_second;
}

TEST(hedge_schedule_test, the_attempt_timeout_allows_for_a_slow_response) {
  hedge_schedule schedule{{}};
  EXPECT_EQ(schedule.attempt_timeout(hold_time), milliseconds(2500));
}

// Guards against copies that take a thin link from the response they copy.
TEST(hedge_schedule_test, sends_no_copy_while_a_response_arrives) {
  hedge_schedule schedule{{}};
  schedule.on_request_sent(begin, milliseconds(0));
  time_point now = begin;
  while (now < begin + milliseconds(3000)) {
    now += milliseconds(400);
    schedule.on_response_progress(now);
    EXPECT_EQ(schedule.next_time(), now + milliseconds(500));
  }
  EXPECT_FALSE(schedule.is_store_lost());
}

// Guards against a response that stalls early in the hold time of its request.
TEST(hedge_schedule_test, hedges_a_stalled_response_of_a_held_request) {
  hedge_schedule schedule{{}};
  schedule.on_request_sent(begin, milliseconds(10000));
  schedule.on_response_progress(begin + milliseconds(100));
  EXPECT_EQ(schedule.next_time(), begin + milliseconds(600));
}

// Guards against a failed attempt that hides behind bytes of its response.
TEST(hedge_schedule_test, retries_a_response_that_failed_at_once) {
  hedge_schedule schedule{{}};
  schedule.on_request_sent(begin, hold_time);
  schedule.on_response_progress(begin);
  schedule.on_attempt_failed(begin, 50);
  EXPECT_EQ(schedule.next_time(), begin + milliseconds(100));
}

TEST(hedge_schedule_test, limits_the_responses_that_arrive_at_the_same_time) {
  hedge_schedule schedule{{}};
  EXPECT_TRUE(schedule.may_hedge(0));
  EXPECT_TRUE(schedule.may_hedge(1));
  EXPECT_FALSE(schedule.may_hedge(2));
}

}  // namespace
}  // namespace boragehill::decide
