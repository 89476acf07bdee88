#include "decide/end_confirmation.hpp"

#include <gtest/gtest.h>

namespace boragehill::decide {
namespace {

TEST(end_confirmation_test, a_response_of_a_server_that_is_gone_is_broken) {
  EXPECT_EQ(judge_probe(probe_outcome::gone, milliseconds(1)),
            confirmation_step::broken);
}

TEST(end_confirmation_test, a_response_of_a_live_or_busy_server_is_complete) {
  for (const auto outcome : {probe_outcome::alive, probe_outcome::silent}) {
    EXPECT_EQ(judge_probe(outcome, milliseconds(1)),
              confirmation_step::complete);
  }
}

TEST(end_confirmation_test, probes_again_while_a_port_may_be_closing) {
  EXPECT_EQ(judge_probe(probe_outcome::reset, milliseconds(1)),
            confirmation_step::probe_again);
  EXPECT_EQ(judge_probe(probe_outcome::reset, milliseconds(500)),
            confirmation_step::complete);
}

}  // namespace
}  // namespace boragehill::decide
