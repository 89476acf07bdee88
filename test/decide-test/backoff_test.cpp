#include "decide/backoff.hpp"

#include <algorithm>
#include <cstdint>
#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck/gtest.h>

namespace boragehill::decide {
namespace {

constexpr auto all_bits = std::numeric_limits<std::uint64_t>::max();

RC_GTEST_PROP(backoff_test, stays_between_zero_and_the_doubled_bound,
              (std::uint64_t bits)) {
  const auto attempt = *rc::gen::inRange<std::uint32_t>(0, 20);
  const milliseconds base{*rc::gen::inRange(1, 1000)};
  const milliseconds cap{*rc::gen::inRange(1, 60000)};
  const milliseconds bound =
      std::min<milliseconds>(cap, base * (1LL << attempt));
  const milliseconds wait = backoff(attempt, base, cap, bits);
  RC_ASSERT(wait >= milliseconds{0});
  RC_ASSERT(wait <= bound);
}

TEST(backoff_test, reaches_both_bounds) {
  const milliseconds base{100};
  const milliseconds cap{1000};
  EXPECT_EQ(backoff(1, base, cap, 0), milliseconds{0});
  EXPECT_EQ(backoff(1, base, cap, 200), milliseconds{200});
  EXPECT_EQ(backoff(1, base, cap, 201), milliseconds{0});
}

TEST(backoff_test, does_not_overflow_at_high_attempts) {
  constexpr auto max_attempt = std::numeric_limits<std::uint32_t>::max();
  EXPECT_LE(backoff(max_attempt, milliseconds{100}, milliseconds::max() / 4,
                    all_bits),
            milliseconds::max() / 4);
  EXPECT_EQ(backoff(max_attempt, milliseconds{0}, milliseconds{50}, all_bits),
            milliseconds{0});
}

}  // namespace
}  // namespace boragehill::decide
