#include "agent_bench.hpp"

namespace boragehill::agent {
namespace {

/// An agent beside a plain service of pool "p1".
class plain_agent_test : public agent_bench {
 protected:
  void SetUp() override {
    this->as_plain = true;
    agent_bench::SetUp();
    ASSERT_TRUE(soon([&] { return this->row().fence > 0; }));
  }

  result_code outcome(std::uint64_t sequence) {
    return failure_in(this->attempt(sequence)).code;
  }
};

TEST_F(plain_agent_test, runs_an_attempt_of_its_pool_once) {
  ASSERT_TRUE(soon([&] { return this->running() == 0; }));
  std::uint64_t sequence = 0;
  ASSERT_TRUE(
      soon([&] { return this->outcome(++sequence) == result_code::ok; }));
  EXPECT_EQ(this->outcome(sequence), result_code::attempt_seen);
}

TEST_F(plain_agent_test, orders_nothing_and_refuses_other_targets) {
  this->target = "pool:other";
  ASSERT_TRUE(soon([&] { return this->outcome(1) == result_code::no_server; }));
  EXPECT_EQ(this->wake("a"), result_code::not_supported);
  EXPECT_TRUE(this->engine.look([](auto& own) { return own.orders.empty(); }));
}

// The pool's service takes as many calls as it has slots. One more must hear
// at once that it was not run, so that its router asks another server.
TEST_F(plain_agent_test, refuses_what_has_no_slot) {
  std::uint64_t sequence = 0;
  ASSERT_TRUE(
      soon([&] { return this->outcome(++sequence) == result_code::ok; }));
  this->engine.change([](fake_engine& own) { own.hold = true; });
  std::vector<std::jthread> callers;
  for (std::uint64_t i = 0; i < 2; ++i) {
    callers.emplace_back([this, i] { this->attempt(1000 + i); });
  }
  ASSERT_TRUE(soon([&] { return this->running() == 2; }));
  const auto refused = failure_in(this->attempt(1002));
  EXPECT_EQ(refused.code, result_code::server_busy);
  EXPECT_EQ(refused.ran, ran_state::no);
  this->engine.change([](fake_engine& own) { own.hold = false; });
  for (auto& caller : callers) caller.join();
}

}  // namespace
}  // namespace boragehill::agent
