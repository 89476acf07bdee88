#include "decide/waiting_order.hpp"

#include <gtest/gtest.h>
#include <map>
#include <random>

namespace {

using namespace boragehill;
using namespace boragehill::decide;

time_point at(int ms) {
  return time_point(milliseconds(100000 + ms));
}

waiting_candidate urgent(int received_ms, const std::string& account = "a") {
  return {.account = account,
          .received = at(received_ms),
          .objective = milliseconds(400),
          .limit = at(received_ms + 3000)};
}

waiting_candidate patient(int received_ms, const std::string& account = "a") {
  return {.account = account,
          .rank = {.account = 0, .route = 2},
          .received = at(received_ms),
          .objective = milliseconds(6000),
          .limit = at(received_ms + 25000)};
}

using order = std::vector<std::size_t>;

TEST(waiting_order_test, patient_requests_yield_to_urgent_ones) {
  EXPECT_EQ(waiting_order({patient(0), urgent(900)}, {}, at(1000)),
            (order{1, 0}));
}

// Guards against patient requests that wait behind urgent ones until they are
// late, too.
TEST(waiting_order_test, a_patient_request_goes_first_when_it_is_nearly_due) {
  EXPECT_EQ(waiting_order({urgent(5700), patient(0)}, {}, at(5750)),
            (order{1, 0}));
}

// Guards against servers that work on what is late while others become late.
TEST(waiting_order_test, a_request_that_cannot_be_in_time_goes_last) {
  EXPECT_EQ(waiting_order({urgent(0), patient(500)}, {}, at(1000)),
            (order{1, 0}));
}

TEST(waiting_order_test, an_account_goes_before_a_route) {
  auto other = urgent(900);
  other.rank = {.account = 1, .route = 0};
  auto own = patient(900);
  own.rank = {.account = 0, .route = 2};
  EXPECT_EQ(waiting_order({other, own}, {}, at(1000)), (order{1, 0}));
}

// Guards against a burst whose cost falls on other accounts.
TEST(waiting_order_test, a_burst_waits_behind_other_accounts) {
  account_shares shares;
  for (int ms = -30000; ms < 0; ms += 500) {
    shares.on_request("large", at(ms));
    shares.on_request("small", at(ms));
  }
  for (int ms = 0; ms < 1000; ms += 50) shares.on_request("large", at(ms));
  EXPECT_TRUE(shares.is_bursting("large", at(1000)));
  EXPECT_FALSE(shares.is_bursting("small", at(1000)));
  EXPECT_EQ(waiting_order({urgent(900, "large"), urgent(950, "small")}, shares,
                          at(1000)),
            (order{1, 0}));
}

// Guards against an account that is served less than a quarter as often as the
// mean.
TEST(waiting_order_test, a_starved_account_goes_first) {
  account_shares shares;
  for (int each = 0; each < 40; ++each) {
    shares.on_request("large", at(each * 10));
    shares.on_sent("large", at(each * 10));
    if (each % 4 == 0) shares.on_request("small", at(each * 10));
  }
  EXPECT_TRUE(shares.is_starved("small", at(400)));
  EXPECT_EQ(waiting_order({urgent(300, "large"), patient(390, "small")}, shares,
                          at(400)),
            (order{1, 0}));
}

TEST(waiting_order_test, a_request_that_is_due_soon_weighs_more) {
  EXPECT_GT(waiting_weight(urgent(0), at(10)),
            5 * waiting_weight(patient(0), at(10)));
  EXPECT_GT(waiting_weight(patient(0), at(5000)),
            waiting_weight(patient(0), at(0)));
  EXPECT_LT(waiting_weight(urgent(0), at(1000)),
            waiting_weight(urgent(0), at(0)));
}

struct replay_result {
  std::map<std::string, double> asked;
  std::map<std::string, double> in_time;
  std::map<int, double> class_asked;
  std::map<int, double> class_in_time;
};

/// Two slots of 20 ms for 80 requests a second of eight small accounts, a
/// quarter of them patient; a ninth account sends 80 a second for some seconds.
replay_result replay(std::uint64_t seed, bool by_order) {
  std::mt19937_64 random(seed);
  replay_result seen;
  account_shares shares;
  std::vector<waiting_candidate> waiting;
  const auto arrive = [&](const std::string& account, int ms) {
    waiting.push_back(random() % 4 == 0 ? patient(ms, account)
                                        : urgent(ms, account));
    shares.on_request(account, at(ms));
    seen.asked[account] += 1;
    seen.class_asked[waiting.back().rank.route] += 1;
  };
  for (int ms = 0; ms < 30000; ++ms) {
    if (random() % 1000 < 80) {
      arrive("small-" + std::to_string(random() % 8), ms);
    }
    const bool bursts = ms >= 15000 && ms < 20000;
    if (random() % 1000 < (bursts ? 80 : 10)) arrive("large", ms);
    if (ms % 10 != 0) continue;
    std::erase_if(waiting, [&](const auto& each) {
      return at(ms) - each.received > milliseconds(3000) &&
             each.rank.route == 0;
    });
    if (waiting.empty()) continue;
    const auto next =
        by_order ? waiting_order(waiting, shares, at(ms)).front() : 0;
    const auto sent = waiting[next];
    waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(next));
    shares.on_sent(sent.account, at(ms));
    if (at(ms) - sent.received > sent.objective) continue;
    seen.in_time[sent.account] += 1;
    seen.class_in_time[sent.rank.route] += 1;
  }
  return seen;
}

// Guards against a burst that makes other accounts' requests late, and against
// patient requests that pay for all of it.
TEST(waiting_order_test, a_burst_costs_its_own_account_first) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE(seed);
    const auto before = replay(seed, false);
    const auto after = replay(seed, true);
    for (int each = 0; each < 8; ++each) {
      const auto name = "small-" + std::to_string(each);
      EXPECT_GT(after.in_time.at(name), 0.9 * after.asked.at(name)) << name;
      EXPECT_GE(after.in_time.at(name), before.in_time.at(name)) << name;
    }
    EXPECT_GT(after.in_time.at("large"), 0.25 * after.asked.at("large"));
    EXPECT_GT(after.class_in_time.at(2), 0.9 * after.class_asked.at(2));
  }
}

}  // namespace
