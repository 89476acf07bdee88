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
constexpr attempt_registry_settings small_settings{.retention = 10 * second,
                                                   .max_attempts = 8};
constexpr std::uint64_t own_fence = 3;

time_point at(milliseconds time) {
  return time_point(time);
}

attempt_id id_of(std::uint64_t sequence) {
  return {"r1-aa", sequence, 1};
}

TEST(attempt_registry_test, begins_an_attempt_only_once) {
  attempt_registry registry(small_settings);
  EXPECT_EQ(registry.begin(id_of(1), at(second), at({})).code, result_code::ok);
  const auto duplicate = registry.begin(id_of(1), at(second), at({}));
  EXPECT_EQ(duplicate.code, result_code::attempt_seen);
  EXPECT_EQ(duplicate.ran, ran_state::unknown);
}

// A router queries an attempt, gets `never_ran` and reports "not run" to its
// caller; the attempt was delayed in the network, arrives later and must not
// run then. It would if the query left no tombstone at the agent.
TEST(attempt_registry_test, refuses_a_tombstoned_attempt) {
  attempt_registry registry(small_settings);
  EXPECT_EQ(registry.tombstone(id_of(1), at(second), at({})),
            attempt_state::never_ran);
  const auto late = registry.begin(id_of(1), at(second), at({}));
  EXPECT_EQ(late.code, result_code::attempt_tombstoned);
  EXPECT_EQ(late.ran, ran_state::no);
}

// A router is paused between its permit and its dispatch. When it continues,
// the agent has removed the tombstone that another router set in the meantime.
// The attempt must not run, however long the pause was.
TEST(attempt_registry_test, refuses_an_attempt_after_its_permit_ended) {
  attempt_registry registry(small_settings);
  registry.tombstone(id_of(1), at(second), at({}));
  registry.remove_expired(at(100 * second));
  EXPECT_EQ(registry.size(), 0U);
  EXPECT_EQ(registry.begin(id_of(1), at(second), at(100 * second)).code,
            result_code::permit_ended);
}

TEST(attempt_registry_test,
     reports_forgotten_only_up_to_the_retention_horizon) {
  attempt_registry registry(small_settings);
  registry.begin(id_of(1), at(second), at({}));
  registry.end(id_of(1), true);
  EXPECT_EQ(registry.state_of(id_of(2), at(second)), attempt_state::never_ran);
  registry.remove_expired(at(60 * second));
  EXPECT_EQ(registry.state_of(id_of(1), at(second)), attempt_state::forgotten);
  EXPECT_EQ(registry.state_of(id_of(2), at(2 * second)),
            attempt_state::never_ran);
}

TEST(attempt_registry_test, keeps_a_running_attempt) {
  attempt_registry registry(small_settings);
  registry.begin(id_of(1), at(second), at({}));
  registry.remove_expired(at(100 * second));
  EXPECT_EQ(registry.state_of(id_of(1), at(second)), attempt_state::running);
}

TEST(attempt_registry_test, refuses_if_full_of_attempts_with_valid_permits) {
  attempt_registry registry(small_settings);
  for (std::uint64_t i = 0; i < small_settings.max_attempts; ++i) {
    registry.begin(id_of(i), at(second), at({}));
    registry.end(id_of(i), true);
  }
  EXPECT_EQ(registry.begin(id_of(100), at(second), at({})).code,
            result_code::server_busy);
  EXPECT_EQ(registry.begin(id_of(100), at(9 * second), at(2 * second)).code,
            result_code::ok);
  EXPECT_EQ(registry.size(), small_settings.max_attempts);
  EXPECT_EQ(registry.retention_horizon(), at(second));
}

TEST(attempt_registry_test, admission_returns_the_reason_of_each_refusal) {
  admission gate(small_settings);
  const attempt_offer offer{id_of(1), own_fence, at(second)};
  EXPECT_EQ(gate.decide(offer, result_code::ok, at({})).code,
            result_code::wrong_incarnation);
  gate.set_fencing_number(own_fence);
  EXPECT_EQ(gate.decide(offer, result_code::ok, at({})).code,
            result_code::server_busy);
  gate.set_slots(1);
  EXPECT_EQ(gate.decide(offer, result_code::model_not_ready, at({})).code,
            result_code::model_not_ready);
  EXPECT_EQ(gate.decide(offer, result_code::ok, at({})).code, result_code::ok);
  gate.drain();
  EXPECT_EQ(
      gate.decide({id_of(2), own_fence, at(second)}, result_code::ok, at({})),
      (admission_decision{result_code::draining, ran_state::no}));
  gate.end(id_of(1), true);
  gate.end(id_of(1), true);
  EXPECT_EQ(gate.running(), 0U);
}

TEST(attempt_registry_test,
     admission_reports_forgotten_for_another_incarnation) {
  admission gate(small_settings);
  gate.set_fencing_number(own_fence);
  const attempt_offer old{id_of(1), own_fence - 1, at(second)};
  EXPECT_EQ(gate.tombstone(old, at({})), attempt_state::forgotten);
  EXPECT_EQ(gate.state_of(old), attempt_state::forgotten);
}

/// What ran, and which attempts were reported as `never_ran`, in a random
/// sequence of offers, duplicates, tombstones and pauses.
struct run_log {
  std::map<std::string, int> runs;
  std::set<std::string> reported_never_ran;
};

template <class Admission>
run_log run_random_steps(Admission& gate, std::uint32_t seed) {
  std::mt19937_64 random(seed);
  run_log log;
  std::map<std::uint64_t, time_point> permits;
  time_point now{};
  std::vector<attempt_offer> running;
  for (int step = 0; step < 400; ++step) {
    now += milliseconds(random() % 1500);
    const std::uint64_t sequence = random() % 40;
    const auto permit =
        permits.try_emplace(sequence, now + milliseconds(random() % 6000));
    const attempt_offer offer{id_of(sequence), own_fence, permit.first->second};
    const std::string id = offer.id.to_string();
    switch (random() % 4) {
      case 0:
      case 1: {
        const auto decision = gate.decide(offer, result_code::ok, now);
        if (decision.code != result_code::ok) break;
        ++log.runs[id];
        running.push_back(offer);
        break;
      }
      case 2:
        if (gate.tombstone(offer, now) == attempt_state::never_ran) {
          log.reported_never_ran.insert(id);
        }
        break;
      default:
        gate.remove_expired(now);
        if (running.empty()) break;
        gate.end(running.back().id, random() % 2 == 0);
        running.pop_back();
    }
  }
  return log;
}

/// Faulty implementation that removes an attempt when it ends, not after the
/// end of its permit.
class faulty_admission {
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

class attempt_registry_property_test
    : public testing::TestWithParam<std::uint32_t> {};

TEST_P(attempt_registry_property_test,
       runs_once_and_not_after_reporting_never_ran) {
  admission gate(small_settings);
  gate.set_fencing_number(own_fence);
  gate.set_slots(4);
  const run_log log = run_random_steps(gate, this->GetParam());
  EXPECT_GT(log.runs.size(), 0U);
  EXPECT_TRUE(invariants::attempt_runs_at_most_once(log.runs));
  EXPECT_TRUE(
      invariants::never_ran_stays_true(log.reported_never_ran, log.runs));
}

INSTANTIATE_TEST_SUITE_P(seeds, attempt_registry_property_test,
                         testing::Range(1U, 201U));

TEST(attempt_registry_test,
     invariants_detect_an_admission_that_forgets_too_early) {
  faulty_admission gate;
  const run_log log = run_random_steps(gate, 1);
  EXPECT_FALSE(invariants::attempt_runs_at_most_once(log.runs));
  EXPECT_FALSE(
      invariants::never_ran_stays_true(log.reported_never_ran, log.runs));
}

}  // namespace
}  // namespace boragehill::decide
