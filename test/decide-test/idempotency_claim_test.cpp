#include "decide/idempotency_claim.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

using wire::attempt_status;

const idempotency_record claimed{.digest = "d1", .attempt = "r1-a.1.1"};
const idempotency_record completed{.digest = "d1",
                                   .attempt = "r1-a.1.1",
                                   .state = idempotency_state::completed};

TEST(idempotency_claim_test, decides_by_the_record_of_the_key) {
  EXPECT_EQ(evaluate_record(std::nullopt, "d1"),
            record_step{claim_and_dispatch{}});
  EXPECT_EQ(evaluate_record(completed, "d1"),
            record_step{return_stored_response{}});
  EXPECT_EQ(evaluate_record(claimed, "d1"), record_step{tombstone_attempt{}});
}

TEST(idempotency_claim_test, refuses_a_key_used_with_another_request) {
  EXPECT_EQ(evaluate_record(claimed, "d2"), record_step{refuse_key_reuse{}});
  EXPECT_EQ(evaluate_record(completed, "d2"), record_step{refuse_key_reuse{}});
}

TEST(idempotency_claim_test, reassigns_only_a_claim_that_never_ran) {
  // Guards against running a request twice: the agent of the first attempt does
  // not respond or has lost its state, and a retry with the same key is
  // dispatched to another server.
  EXPECT_EQ(evaluate_agent_status(attempt_status::never_ran),
            claim_step{reassign_claim{}});
  EXPECT_EQ(evaluate_agent_status(attempt_status::running),
            claim_step{wait_for_completion{}});
  EXPECT_EQ(evaluate_agent_status(attempt_status::ended),
            claim_step{fetch_agent_response{}});
  const claim_step unknown{report_unknown_outcome{}};
  EXPECT_EQ(evaluate_agent_status(attempt_status::broken), unknown);
  EXPECT_EQ(evaluate_agent_status(attempt_status::forgotten), unknown);
  EXPECT_EQ(evaluate_agent_status(std::nullopt), unknown);
}

TEST(idempotency_claim_test, recognizes_its_claim_after_a_lost_write_response) {
  EXPECT_TRUE(is_claimed_by(claimed, "r1-a.1.1"));
  EXPECT_FALSE(is_claimed_by(claimed, "r2-b.1.1"));
  EXPECT_FALSE(is_claimed_by(std::nullopt, "r1-a.1.1"));
}

}  // namespace
}  // namespace boragehill::decide
