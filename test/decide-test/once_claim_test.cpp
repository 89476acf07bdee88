#include "decide/once_claim.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

using wire::attempt_status;

const once_row claimed{.digest = "d1", .attempt = "r1-a.1.1"};
const once_row ended{
    .digest = "d1", .attempt = "r1-a.1.1", .state = once_state::ended};

TEST(once_claim_test, judges_a_resend_by_its_row) {
  EXPECT_EQ(judge_resend(std::nullopt, "d1"), resend_step{run_it{}});
  EXPECT_EQ(judge_resend(ended, "d1"), resend_step{hand_over_result{}});
  EXPECT_EQ(judge_resend(claimed, "d1"), resend_step{ask_agent{}});
}

TEST(once_claim_test, refuses_a_key_that_came_with_another_request) {
  EXPECT_EQ(judge_resend(claimed, "d2"), resend_step{refuse_reused{}});
  EXPECT_EQ(judge_resend(ended, "d2"), resend_step{refuse_reused{}});
}

TEST(once_claim_test, runs_again_only_what_never_ran) {
  // Guards against running a request twice: the agent of the first attempt does
  // not respond or has lost its state, and a retry with the same key is
  // dispatched to another server.
  EXPECT_EQ(judge_agent_answer(attempt_status::never_ran),
            claim_step{reclaim{}});
  EXPECT_EQ(judge_agent_answer(attempt_status::running),
            claim_step{wait_for_end{}});
  EXPECT_EQ(judge_agent_answer(attempt_status::ended), claim_step{hand_over{}});
  const claim_step unknown{outcome_is_unknown{}};
  EXPECT_EQ(judge_agent_answer(attempt_status::broken), unknown);
  EXPECT_EQ(judge_agent_answer(attempt_status::forgotten), unknown);
  EXPECT_EQ(judge_agent_answer(std::nullopt), unknown);
}

TEST(once_claim_test, knows_its_own_claim_when_the_writes_answer_was_lost) {
  EXPECT_TRUE(is_claimed_by(claimed, "r1-a.1.1"));
  EXPECT_FALSE(is_claimed_by(claimed, "r2-b.1.1"));
  EXPECT_FALSE(is_claimed_by(std::nullopt, "r1-a.1.1"));
}

}  // namespace
}  // namespace boragehill::decide
