#include "soak/checks.hpp"

#include <gtest/gtest.h>
#include <vector>

#include "soak/fault_plan.hpp"

namespace boragehill::soak {
namespace {

using std::chrono::milliseconds;

const std::chrono::steady_clock::time_point start{std::chrono::hours(1)};

call_record answered() {
  return {.attempt = "a",
          .router = 1,
          .begin = start,
          .end = start + milliseconds(50),
          .deadline = milliseconds(3000),
          .status = 200,
          .own_answer = true};
}

fault_span fault(fault_kind kind, int target = 1) {
  return {.kind = kind,
          .target = target,
          .begin = start - milliseconds(100),
          .end = start + milliseconds(100)};
}

std::size_t broken(const call_record& call, int runs,
                   const std::vector<fault_span>& faults = {}) {
  return broken_promises({call}, {{"a", runs}}, faults).size();
}

TEST(checks_test, a_good_call_breaks_nothing) {
  EXPECT_EQ(broken(answered(), 1), 0U);
}

TEST(checks_test, each_check_fires) {
  EXPECT_EQ(broken(answered(), 2), 1U);
  auto refused = answered();
  refused.status = 503;
  EXPECT_EQ(broken(refused, 0), 0U);
  EXPECT_EQ(broken(refused, 1), 1U);
  auto foreign = answered();
  foreign.own_answer = false;
  EXPECT_EQ(broken(foreign, 1), 1U);
  EXPECT_EQ(broken(answered(), 0), 1U);
  auto late = answered();
  late.end = start + milliseconds(4000);
  EXPECT_EQ(broken(late, 1), 1U);
  auto cut = answered();
  cut.status = 0;
  EXPECT_EQ(broken(cut, 0), 0U);
  EXPECT_EQ(broken(cut, 1), 1U);
}

TEST(checks_test, only_what_explains_it_excuses_a_cut) {
  auto cut = answered();
  cut.status = 0;
  for (const auto kind : {fault_kind::router_stop, fault_kind::router_hangup,
                          fault_kind::agent_kill, fault_kind::store_down,
                          fault_kind::store_link, fault_kind::configuration}) {
    EXPECT_EQ(broken(cut, 1, {fault(kind)}), 1U) << name_of(kind);
  }
  EXPECT_EQ(broken(cut, 1, {fault(fault_kind::router_kill)}), 0U);
  EXPECT_EQ(broken(cut, 1, {fault(fault_kind::router_kill, 2)}), 1U);
  EXPECT_EQ(broken(cut, 1, {fault(fault_kind::plain_replace)}), 0U);
}

TEST(checks_test, a_pause_excuses_lateness_and_nothing_else) {
  auto late = answered();
  late.end = start + milliseconds(5000);
  EXPECT_EQ(broken(late, 1, {fault(fault_kind::router_pause)}), 0U);
  EXPECT_EQ(broken(late, 2, {fault(fault_kind::router_pause)}), 1U);
}

/// \return The broken promises of a caller that left after 50 ms and whose
///     request began to run so much later.
std::size_t in_vain(milliseconds later, const std::vector<fault_span>& faults) {
  auto gone = answered();
  gone.status = 0;
  gone.left = true;
  return runs_in_vain({gone}, {{"a", gone.end + later}}, faults).size();
}

TEST(checks_test, a_run_for_a_caller_that_has_left_is_found) {
  EXPECT_EQ(in_vain(milliseconds(400), {}), 0U);
  EXPECT_EQ(in_vain(milliseconds(600), {}), 1U);
  for (const auto kind : {fault_kind::router_pause, fault_kind::store_silent,
                          fault_kind::agent_kill, fault_kind::plain_replace}) {
    EXPECT_EQ(in_vain(milliseconds(600), {fault(kind)}), 1U) << name_of(kind);
  }
}

TEST(checks_test, only_a_fault_that_held_the_bytes_excuses_a_late_run) {
  for (const auto kind : {fault_kind::worker_pause, fault_kind::worker_link}) {
    EXPECT_EQ(in_vain(milliseconds(600), {fault(kind)}), 0U) << name_of(kind);
    EXPECT_EQ(in_vain(milliseconds(5000), {fault(kind)}), 1U) << name_of(kind);
    auto after = fault(kind);
    after.begin = start + milliseconds(200);
    after.end = start + milliseconds(400);
    EXPECT_EQ(in_vain(milliseconds(600), {after}), 1U) << name_of(kind);
  }
}

TEST(checks_test, a_caller_that_left_by_itself_was_not_cut_off) {
  auto gone = answered();
  gone.status = 0;
  gone.left = true;
  EXPECT_EQ(broken(gone, 1), 0U);
}

TEST(checks_test, only_a_caller_that_had_all_events_may_be_cut_off) {
  auto rest = answered();
  rest.status = 0;
  EXPECT_EQ(broken(rest, 1), 1U);
  rest.had_all = true;
  EXPECT_EQ(broken(rest, 1), 0U);
  rest.repeatable = true;
  EXPECT_EQ(broken(rest, 3), 1U);
}

TEST(fault_plan_test, a_seed_draws_the_same_faults) {
  const auto one = draw_faults(7, milliseconds(20000), {});
  EXPECT_EQ(one, draw_faults(7, milliseconds(20000), {}));
  EXPECT_NE(one, draw_faults(8, milliseconds(20000), {}));
  EXPECT_GT(one.size(), 20U);
}

TEST(checks_test, retries_are_summed_by_service_over_all_routers) {
  const invariants::retry_bound bound{
      .per_request = 0.2, .constant = 3, .window = milliseconds(10000)};
  std::vector<call_record> calls;
  std::vector<invariants::service_event> arrivals;
  for (int each = 0; each < 10; ++each) {
    auto call = answered();
    call.attempt = std::to_string(each);
    call.service = "sheets";
    call.router = 1 + each % 2;
    calls.push_back(call);
    arrivals.push_back({"sheets", call.attempt, call.begin});
  }
  // Ten requests allow two more.
  for (int each = 0; each < 5; ++each) {
    arrivals.push_back(
        {"sheets", std::to_string(each), start + milliseconds(1900 * each)});
  }
  EXPECT_EQ(retries_beyond_budget(calls, arrivals, bound).size(), 0U);
  auto other = arrivals;
  other.push_back({"assist", "x", start});
  other.push_back({"assist", "x", start});
  EXPECT_EQ(retries_beyond_budget(calls, other, bound).size(), 0U);
  arrivals.push_back({"sheets", "5", start + milliseconds(9000)});
  EXPECT_EQ(retries_beyond_budget(calls, arrivals, bound).size(), 1U);
  arrivals.back().at = start + milliseconds(10500);
  EXPECT_EQ(retries_beyond_budget(calls, arrivals, bound).size(), 0U);
}

TEST(checks_test, only_a_repeatable_request_may_run_twice) {
  auto lookup = answered();
  lookup.repeatable = true;
  EXPECT_EQ(broken(lookup, 2), 0U);
  EXPECT_EQ(broken(lookup, 3), 1U);
}

TEST(checks_test, counts_servers_that_end_late_under_the_same_request) {
  std::vector<call_record> calls;
  std::vector<std::chrono::steady_clock::time_point> ends;
  const auto end_server = [&](milliseconds after) {
    call_record call = answered();
    call.crashes_servers = true;
    call.status = 502;
    call.begin = start + after;
    call.end = call.begin + milliseconds(20);
    calls.push_back(call);
    ends.push_back(call.end);
  };
  for (int each = 0; each < 3; ++each) end_server(milliseconds(100 * each));
  // Within the three seconds and three more sends all is allowed.
  for (int each = 0; each < 5; ++each) end_server(milliseconds(2000 + each));
  for (int each = 0; each < 3; ++each) end_server(milliseconds(4000 + each));
  EXPECT_TRUE(crashes_beyond_limit(calls, ends, {}).empty());
  end_server(milliseconds(9000));
  EXPECT_EQ(crashes_beyond_limit(calls, ends, {}).size(), 1U);
  auto killed = fault(fault_kind::router_kill);
  killed.begin = killed.end = start + milliseconds(7000);
  EXPECT_TRUE(crashes_beyond_limit(calls, ends, {killed}).empty());
  killed.target = 2;
  EXPECT_EQ(crashes_beyond_limit(calls, ends, {killed}).size(), 1U);
  killed.kind = fault_kind::plain_fails;
  EXPECT_EQ(crashes_beyond_limit(calls, ends, {killed}).size(), 1U);
  killed.kind = fault_kind::store_down;
  EXPECT_TRUE(crashes_beyond_limit(calls, ends, {killed}).empty());
}

stream_record whole_stream() {
  return {.attempt = "s",
          .events = {1, 2, 3, 4, 5, 6, 7, 8},
          .versions = {"v1"},
          .tries = 2,
          .complete = true};
}

// Guards against a stream whose events come from servers of two versions.
TEST(checks_test, a_stream_of_two_versions_is_found) {
  auto stream = whole_stream();
  EXPECT_TRUE(joined_versions({stream}).empty());
  stream.versions = {};
  EXPECT_TRUE(joined_versions({stream}).empty());
  stream.versions = {"v1", "v2"};
  EXPECT_EQ(joined_versions({whole_stream(), stream}),
            std::vector<std::string>{"s: events of versions v1 v2"});
  stream.complete = false;
  EXPECT_EQ(joined_versions({stream}).size(), 1U);
}

/// \return The lines for a stream with these events.
std::vector<std::string> disorder(const std::vector<int>& events,
                                  bool complete) {
  auto stream = whole_stream();
  stream.events = events;
  stream.complete = complete;
  return streams_out_of_order({stream});
}

// Guards against a stream that passes for complete before its last event.
TEST(checks_test, a_complete_stream_that_lacks_its_end_is_found) {
  EXPECT_TRUE(streams_out_of_order({whole_stream()}).empty());
  EXPECT_EQ(disorder({1, 2, 3}, true),
            std::vector<std::string>{"s: complete with events 1 2 3"});
  EXPECT_EQ(disorder({}, true).size(), 1U);
  EXPECT_TRUE(disorder({1, 2, 3}, false).empty());
  EXPECT_TRUE(disorder({}, false).empty());
}

// Guards against events that are missing, or come twice or out of order.
TEST(checks_test, events_out_of_order_are_found_though_a_stream_ends_early) {
  for (const bool complete : {false, true}) {
    EXPECT_EQ(disorder({1, 2, 3, 1, 2, 3, 4, 5, 6, 7, 8}, complete).size(), 1U);
    EXPECT_EQ(disorder({1, 2, 2, 3}, complete).size(), 1U);
    EXPECT_EQ(disorder({1, 2, 4, 5, 6, 7, 8}, complete).size(), 1U);
    EXPECT_EQ(disorder({2, 3}, complete).size(), 1U);
    EXPECT_EQ(disorder({1, 3, 2}, complete).size(), 1U);
    EXPECT_EQ(disorder({1, 2, 3, 4, 5, 6, 7, 8, 9}, complete).size(), 1U);
  }
}

}  // namespace
}  // namespace boragehill::soak
