#include "decide/hedge_schedule.hpp"

#include <gtest/gtest.h>
#include <optional>
#include <vector>

namespace boragehill::decide {
namespace {

constexpr milliseconds wait{1000};
const time_point begin{std::chrono::seconds(100)};

/// A store that never answers the requests that arrive or are held during a
/// stall, and answers all others after its latency; polled without end.
class silent_store_world {
 public:
  silent_store_world(milliseconds silent_from, milliseconds silent_until,
                     milliseconds latency)
      : silent_from(begin + silent_from),
        silent_until(begin + silent_until),
        latency(latency) {}

  /// \return When the poller gets the first response that was sent after the
  ///     stall.
  time_point first_answer_after_the_silence(std::uint64_t random_bits) const {
    time_point asked = begin;
    while (true) {
      const auto answered = this->answer_to_question(asked, random_bits);
      if (answered - this->latency >= this->silent_until) return answered;
      asked = answered;
    }
  }

 private:
  bool is_silent(time_point when) const {
    return when >= this->silent_from && when < this->silent_until;
  }

  /// \return When an attempt gets its response; nothing if it never does.
  std::optional<time_point> answer_to(time_point sent,
                                      milliseconds held) const {
    // The store answers a poll at once if it has an update, as it has after the
    // stall, and otherwise at the end of the hold time.
    const bool overlaps =
        sent < this->silent_until && sent + held >= this->silent_from;
    if (this->is_silent(sent) || overlaps) return std::nullopt;
    return sent + held + this->latency;
  }

  time_point answer_to_question(time_point asked,
                                std::uint64_t random_bits) const {
    hedge_schedule schedule{{}};
    schedule.on_request_sent(asked, wait);
    std::optional<time_point> best = this->answer_to(asked, wait);
    while (!best || *best > schedule.next_time()) {
      const auto now = schedule.next_time();
      const auto answered = this->answer_to(now, milliseconds(0));
      if (answered && (!best || *answered < *best)) best = answered;
      schedule.on_hedge_sent(now, random_bits);
    }
    return *best;
  }

  time_point silent_from;
  time_point silent_until;
  milliseconds latency;
};

TEST(ask_again_test, the_stores_return_is_noticed_in_time_whatever_the_phase) {
  // A store stalls for some time, and a change is confirmed when it recovers.
  // The change has to be known two seconds later, whenever the lost poll was
  // sent; with one attempt at a time it took up to 3.7 s.
  for (int from = 0; from < 1100; from += 50) {
    for (int length = 10; length < 7000; length += 130) {
      for (const std::uint64_t random : {0, 150, 300}) {
        const milliseconds until(from + length);
        const silent_store_world world(milliseconds(from), until,
                                       milliseconds(4));
        const auto known = world.first_answer_after_the_silence(random);
        EXPECT_LE(known - begin, until + milliseconds(1600))
            << "silent from " << from << " for " << length;
      }
    }
  }
}

TEST(ask_again_test, one_late_answer_is_no_outage) {
  hedge_schedule schedule{{}};
  schedule.on_request_sent(begin, wait);
  EXPECT_EQ(schedule.next_time(), begin + wait + milliseconds(500));
  schedule.on_hedge_sent(schedule.next_time(), 0);
  EXPECT_FALSE(schedule.is_store_lost());
  schedule.on_hedge_sent(schedule.next_time(), 0);
  EXPECT_TRUE(schedule.is_store_lost());
}

TEST(ask_again_test, an_attempt_that_fails_at_once_is_repeated_soon) {
  // The store closes a persistent connection between two polls. This is no
  // outage of the store, and must not delay the next update.
  hedge_schedule schedule{{}};
  schedule.on_request_sent(begin, wait);
  schedule.on_attempt_failed(begin, 50);
  EXPECT_EQ(schedule.next_time(), begin + milliseconds(100));
  EXPECT_TRUE(schedule.is_store_lost());
}

TEST(ask_again_test, a_store_that_refuses_is_asked_twice_or_thrice_a_second) {
  // A store rejects calls above its rate limit. All processes retry, and
  // together they must stay below that limit.
  hedge_schedule schedule{{}};
  schedule.on_request_sent(begin, wait);
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
double asked_a_second(milliseconds held) {
  hedge_schedule schedule{{}};
  schedule.on_request_sent(begin, held);
  constexpr int repeats = 1000;
  const auto first = schedule.next_time();
  for (std::uint64_t each = 0; each < repeats; ++each) {
    schedule.on_hedge_sent(schedule.next_time(), each * 7919);
  }
  return repeats /
         seconds_of(milliseconds(ms_between(first, schedule.next_time())));
}

TEST(ask_again_test, a_silent_store_is_not_flooded_at_the_size_designed_for) {
  // All processes lose the store at the same time and retry until it recovers.
  // Above its rate limit it would reject them then, and keep rejecting them.
  constexpr double routers = 340;
  constexpr double agents = 600;
  constexpr double calls_borne = 2000;
  const double asked = routers * asked_a_second(milliseconds(1000)) +
                       routers * asked_a_second(milliseconds(2000)) +
                       agents * asked_a_second(milliseconds(10000));
  EXPECT_LT(asked, calls_borne * 0.75) << asked;
}

TEST(ask_again_test, a_slow_answer_is_waited_for) {
  hedge_schedule schedule{{}};
  EXPECT_EQ(schedule.attempt_timeout(wait), milliseconds(2500));
}

}  // namespace
}  // namespace boragehill::decide
