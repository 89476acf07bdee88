#include <gtest/gtest.h>

#include "decide/admission.hpp"

namespace boragehill::decide {

namespace {

constexpr std::uint64_t fence = 3;
const time_point start = time_point(milliseconds(100000));

attempt_offer make_offer(std::uint64_t sequence, bool exclusive) {
  return {.id = {"r1-a", sequence, 1},
          .fence = fence,
          .permit_end = start + milliseconds(60000),
          .exclusive = exclusive};
}

admission ready_admission() {
  admission gate({});
  gate.set_fencing_number(fence);
  gate.set_slots(4);
  return gate;
}

result_code decide_at(admission& gate, const attempt_offer& offer,
                      time_point now) {
  return gate.decide(offer, result_code::ok, now).code;
}

}  // namespace

// Guards against quarantining a harmless request. Two homes, each with one
// implicated request, send both to the same server; it crashes once, and both
// homes attribute the crash to their request. So only one of them may run
// there, with no other attempt in flight.
TEST(exclusive_admission_test, runs_an_exclusive_attempt_alone) {
  admission gate = ready_admission();
  EXPECT_EQ(decide_at(gate, make_offer(1, true), start), result_code::ok);
  EXPECT_EQ(decide_at(gate, make_offer(2, true), start),
            result_code::server_busy);
  EXPECT_EQ(decide_at(gate, make_offer(3, false), start),
            result_code::server_busy);
  gate.end(make_offer(1, true).id, true);
  EXPECT_EQ(decide_at(gate, make_offer(3, false), start), result_code::ok);
}

TEST(exclusive_admission_test, rejects_an_exclusive_attempt_at_a_busy_server) {
  admission gate = ready_admission();
  EXPECT_EQ(decide_at(gate, make_offer(1, false), start), result_code::ok);
  EXPECT_EQ(decide_at(gate, make_offer(2, true), start),
            result_code::server_busy);
  EXPECT_EQ(gate.running(), 1U);
}

// On a server that is never idle, an implicated request would wait until its
// deadline. So a rejected one reserves the server until the running attempts
// have ended and it is retried.
TEST(exclusive_admission_test,
     rejects_others_until_the_exclusive_one_is_retried) {
  admission gate = ready_admission();
  EXPECT_EQ(decide_at(gate, make_offer(1, false), start), result_code::ok);
  EXPECT_EQ(decide_at(gate, make_offer(2, true), start),
            result_code::server_busy);
  EXPECT_EQ(decide_at(gate, make_offer(3, false), start),
            result_code::server_busy);
  gate.end(make_offer(1, false).id, true);
  EXPECT_EQ(decide_at(gate, make_offer(4, true), start), result_code::ok);
}

TEST(exclusive_admission_test, admits_others_after_the_reservation) {
  admission gate = ready_admission();
  EXPECT_EQ(decide_at(gate, make_offer(1, false), start), result_code::ok);
  EXPECT_EQ(decide_at(gate, make_offer(2, true), start),
            result_code::server_busy);
  const time_point later = start + admission::exclusive_reservation;
  EXPECT_EQ(decide_at(gate, make_offer(3, false), later), result_code::ok);
}

}  // namespace boragehill::decide
