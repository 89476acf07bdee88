#include <gtest/gtest.h>

#include "decide/admission.hpp"

namespace boragehill::decide {

namespace {

constexpr std::uint64_t fence = 3;
const time_point start = time_point(milliseconds(100000));

attempt_offer offer(std::uint64_t sequence, bool exclusive) {
  return {.id = {"r1-a", sequence, 1},
          .fence = fence,
          .permit_end = start + milliseconds(60000),
          .exclusive = exclusive};
}

admission ready_admission() {
  admission made({});
  made.set_fencing_number(fence);
  made.set_slots(4);
  return made;
}

result_code decide_at(admission& at, const attempt_offer& offered,
                      time_point now) {
  return at.decide(offered, result_code::ok, now).code;
}

}  // namespace

// Guards against quarantining a harmless request. Two homes, each with one
// implicated request, send both to the same server; it crashes once, and both
// homes attribute the crash to their request. So only one of them may run
// there, with no other attempt in flight.
TEST(exclusive_admission_test, runs_a_struck_attempt_with_nothing_beside_it) {
  admission at = ready_admission();
  EXPECT_EQ(decide_at(at, offer(1, true), start), result_code::ok);
  EXPECT_EQ(decide_at(at, offer(2, true), start), result_code::server_busy);
  EXPECT_EQ(decide_at(at, offer(3, false), start), result_code::server_busy);
  at.end(offer(1, true).id, true);
  EXPECT_EQ(decide_at(at, offer(3, false), start), result_code::ok);
}

TEST(exclusive_admission_test, turns_a_struck_attempt_away_from_a_busy_server) {
  admission at = ready_admission();
  EXPECT_EQ(decide_at(at, offer(1, false), start), result_code::ok);
  EXPECT_EQ(decide_at(at, offer(2, true), start), result_code::server_busy);
  EXPECT_EQ(at.running(), 1U);
}

// On a server that is never idle, an implicated request would wait until its
// deadline. So a rejected one reserves the server until the running attempts
// have ended and it is retried.
TEST(exclusive_admission_test, keeps_others_out_until_the_struck_one_is_back) {
  admission at = ready_admission();
  EXPECT_EQ(decide_at(at, offer(1, false), start), result_code::ok);
  EXPECT_EQ(decide_at(at, offer(2, true), start), result_code::server_busy);
  EXPECT_EQ(decide_at(at, offer(3, false), start), result_code::server_busy);
  at.end(offer(1, false).id, true);
  EXPECT_EQ(decide_at(at, offer(4, true), start), result_code::ok);
}

TEST(exclusive_admission_test, lets_others_in_if_the_struck_one_stays_away) {
  admission at = ready_admission();
  EXPECT_EQ(decide_at(at, offer(1, false), start), result_code::ok);
  EXPECT_EQ(decide_at(at, offer(2, true), start), result_code::server_busy);
  const time_point later = start + admission::exclusive_reservation;
  EXPECT_EQ(decide_at(at, offer(3, false), later), result_code::ok);
}

}  // namespace boragehill::decide
