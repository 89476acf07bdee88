#include "decide/attempt_registry.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>
#include <string>

#include "decide/admission.hpp"
#include "invariants/attempt_runs_at_most_once.hpp"
#include "invariants/never_ran_stays_true.hpp"

namespace boragehill::decide {
namespace {

constexpr milliseconds second{1000};
constexpr attempt_registry_settings small{.retention = 10 * second,
                                          .max_attempts = 8};
constexpr std::uint64_t own_fence = 3;

time_point at(milliseconds time) {
  return time_point(time);
}

attempt_id id_of(std::uint64_t sequence) {
  return {"r1-aa", sequence, 1};
}

TEST(attempt_memory_test, lets_an_attempt_begin_once) {
  attempt_registry memory(small);
  EXPECT_EQ(memory.begin(id_of(1), at(second), at({})).code, result_code::ok);
  const auto again = memory.begin(id_of(1), at(second), at({}));
  EXPECT_EQ(again.code, result_code::attempt_seen);
  EXPECT_EQ(again.ran, ran_state::unknown);
}

// A router queries an attempt, gets `never_ran` and reports "not run" to its
// caller; the attempt was delayed in the network, arrives later and must not
// run then.
TEST(attempt_memory_test, a_tombstoned_attempt_never_begins) {
  attempt_registry memory(small);
  EXPECT_EQ(memory.tombstone(id_of(1), at(second), at({})),
            attempt_state::never_ran);
  const auto late = memory.begin(id_of(1), at(second), at({}));
  EXPECT_EQ(late.code, result_code::attempt_tombstoned);
  EXPECT_EQ(late.ran, ran_state::no);
}

// A router is paused between its permit and its dispatch. When it continues,
// the agent has removed the tombstone that another router set in the meantime.
// The attempt must not run, however long the pause was.
TEST(attempt_memory_test, refuses_an_attempt_after_its_permit_ended) {
  attempt_registry memory(small);
  memory.tombstone(id_of(1), at(second), at({}));
  memory.remove_expired(at(100 * second));
  EXPECT_EQ(memory.size(), 0U);
  EXPECT_EQ(memory.begin(id_of(1), at(second), at(100 * second)).code,
            result_code::permit_ended);
}

TEST(attempt_memory_test, says_forgotten_only_below_its_horizon) {
  attempt_registry memory(small);
  memory.begin(id_of(1), at(second), at({}));
  memory.end(id_of(1), true);
  EXPECT_EQ(memory.state_of(id_of(2), at(second)), attempt_state::never_ran);
  memory.remove_expired(at(60 * second));
  EXPECT_EQ(memory.state_of(id_of(1), at(second)), attempt_state::forgotten);
  EXPECT_EQ(memory.state_of(id_of(2), at(2 * second)),
            attempt_state::never_ran);
}

TEST(attempt_memory_test, never_forgets_an_attempt_that_runs) {
  attempt_registry memory(small);
  memory.begin(id_of(1), at(second), at({}));
  memory.remove_expired(at(100 * second));
  EXPECT_EQ(memory.state_of(id_of(1), at(second)), attempt_state::running);
}

TEST(attempt_memory_test, full_of_live_permits_it_refuses_and_forgets_none) {
  attempt_registry memory(small);
  for (std::uint64_t i = 0; i < small.max_attempts; ++i) {
    memory.begin(id_of(i), at(second), at({}));
    memory.end(id_of(i), true);
  }
  EXPECT_EQ(memory.begin(id_of(100), at(second), at({})).code,
            result_code::server_busy);
  EXPECT_EQ(memory.begin(id_of(100), at(9 * second), at(2 * second)).code,
            result_code::ok);
  EXPECT_EQ(memory.size(), small.max_attempts);
  EXPECT_EQ(memory.retention_horizon(), at(second));
}

TEST(admission_test, refuses_in_the_order_of_what_is_certain) {
  admission door(small);
  const attempt_offer offer{id_of(1), own_fence, at(second)};
  EXPECT_EQ(door.decide(offer, result_code::ok, at({})).code,
            result_code::wrong_incarnation);
  door.set_fencing_number(own_fence);
  EXPECT_EQ(door.decide(offer, result_code::ok, at({})).code,
            result_code::server_busy);
  door.set_slots(1);
  EXPECT_EQ(door.decide(offer, result_code::model_not_ready, at({})).code,
            result_code::model_not_ready);
  EXPECT_EQ(door.decide(offer, result_code::ok, at({})).code, result_code::ok);
  door.drain();
  EXPECT_EQ(
      door.decide({id_of(2), own_fence, at(second)}, result_code::ok, at({})),
      (admission_decision{result_code::draining, ran_state::no}));
  door.end(id_of(1), true);
  door.end(id_of(1), true);
  EXPECT_EQ(door.running(), 0U);
}

TEST(admission_test, knows_nothing_of_another_incarnations_attempts) {
  admission door(small);
  door.set_fencing_number(own_fence);
  const attempt_offer old{id_of(1), own_fence - 1, at(second)};
  EXPECT_EQ(door.tombstone(old, at({})), attempt_state::forgotten);
  EXPECT_EQ(door.state_of(old), attempt_state::forgotten);
}

/// What ran, and which attempts were reported as `never_ran`, in a random
/// sequence of offers, duplicates, tombstones and pauses.
struct history {
  std::map<std::string, int> runs;
  std::set<std::string> promised;
};

template <class Decision>
history play(Decision& door, std::uint32_t seed) {
  std::mt19937_64 random(seed);
  history past;
  std::map<std::uint64_t, time_point> permits;
  time_point now{};
  std::vector<attempt_offer> running;
  for (int step = 0; step < 400; ++step) {
    now += milliseconds(random() % 1500);
    const std::uint64_t sequence = random() % 40;
    const auto permit =
        permits.try_emplace(sequence, now + milliseconds(random() % 6000));
    const attempt_offer offer{id_of(sequence), own_fence, permit.first->second};
    const std::string name = offer.id.to_string();
    switch (random() % 4) {
      case 0:
      case 1: {
        const auto verdict = door.decide(offer, result_code::ok, now);
        if (verdict.code != result_code::ok) break;
        ++past.runs[name];
        running.push_back(offer);
        break;
      }
      case 2:
        if (door.tombstone(offer, now) == attempt_state::never_ran) {
          past.promised.insert(name);
        }
        break;
      default:
        door.remove_expired(now);
        if (running.empty()) break;
        door.end(running.back().id, random() % 2 == 0);
        running.pop_back();
    }
  }
  return past;
}

/// Faulty implementation that removes an attempt when it ends, not after the
/// end of its permit.
class forgetful_admission {
 public:
  admission_decision decide(const attempt_offer& offer, result_code,
                            time_point) {
    if (!this->seen.insert(offer.id.to_string()).second) {
      return {result_code::attempt_seen, ran_state::unknown};
    }
    return {};
  }
  attempt_state tombstone(const attempt_offer& offer, time_point) {
    return this->seen.contains(offer.id.to_string()) ? attempt_state::running
                                                     : attempt_state::never_ran;
  }
  void end(const attempt_id& id, bool) { this->seen.erase(id.to_string()); }
  void remove_expired(time_point) {}

 private:
  std::set<std::string> seen;
};

class attempts_property_test : public testing::TestWithParam<std::uint32_t> {};

TEST_P(attempts_property_test, runs_once_and_keeps_its_promises) {
  admission door(small);
  door.set_fencing_number(own_fence);
  door.set_slots(4);
  const history past = play(door, this->GetParam());
  EXPECT_GT(past.runs.size(), 0U);
  EXPECT_TRUE(invariants::attempt_runs_at_most_once(past.runs));
  EXPECT_TRUE(invariants::never_ran_stays_true(past.promised, past.runs));
}

INSTANTIATE_TEST_SUITE_P(seeds, attempts_property_test,
                         testing::Range(1U, 201U));

TEST(attempts_checker_test, fires_on_a_decision_that_forgets_too_early) {
  forgetful_admission door;
  const history past = play(door, 1);
  EXPECT_FALSE(invariants::attempt_runs_at_most_once(past.runs));
  EXPECT_FALSE(invariants::never_ran_stays_true(past.promised, past.runs));
}

}  // namespace
}  // namespace boragehill::decide
