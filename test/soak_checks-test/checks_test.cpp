#include "soak/checks.hpp"

#include <gtest/gtest.h>
#include <optional>
#include <string>
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

TEST(checks_test, runs_in_a_window_keep_to_the_quota) {
  // (8 x 10 + 10) x 1.1 + 17 in eight seconds.
  constexpr int allowed = 116;
  std::vector<call_record> calls;
  std::vector<invariants::service_event> runs;
  for (int each = 0; each < allowed; ++each) {
    calls.push_back(answered());
    calls.back().attempt = std::to_string(each);
    runs.push_back(
        {"sheets", calls.back().attempt, start + milliseconds(each)});
  }
  EXPECT_EQ(runs_beyond_quota(calls, runs, 10).size(), 0U);
  runs.push_back({"sheets", "0", start + milliseconds(7999)});
  EXPECT_EQ(runs_beyond_quota(calls, runs, 10).size(), 1U);
  runs.back().at = start + milliseconds(8500);
  EXPECT_EQ(runs_beyond_quota(calls, runs, 10).size(), 0U);
}

TEST(checks_test, only_a_repeatable_request_may_run_twice) {
  auto lookup = answered();
  lookup.repeatable = true;
  EXPECT_EQ(broken(lookup, 2), 0U);
  EXPECT_EQ(broken(lookup, 3), 1U);
}

/// What a request that ends servers did.
class crashing_calls {
 public:
  /// The request reaches a server so long after the start.
  void reach(milliseconds after, bool ends_server = true) {
    call_record call = answered();
    call.attempt = "crash-" + std::to_string(this->calls.size());
    call.service = "sheets";
    call.crashing = "poison";
    call.status = 502;
    call.begin = start + after;
    call.end = call.begin + milliseconds(20);
    this->calls.push_back(call);
    this->arrivals.push_back({"sheets", call.attempt, call.begin});
    if (ends_server) this->crashes.push_back(this->arrivals.back());
  }

  std::size_t broken(const std::vector<fault_span>& faults = {}) const {
    return sends_beyond_crash_limit(this->calls, this->arrivals, this->crashes,
                                    faults)
        .size();
  }

 private:
  std::vector<call_record> calls;
  std::vector<invariants::service_event> arrivals;
  std::vector<invariants::service_event> crashes;
};

TEST(checks_test, counts_servers_that_end_late_under_the_same_request) {
  crashing_calls request;
  for (int each = 0; each < 3; ++each) request.reach(milliseconds(100 * each));
  // Within the three seconds and three more sends all is allowed.
  for (int each = 0; each < 5; ++each) request.reach(milliseconds(2000 + each));
  for (int each = 0; each < 3; ++each) request.reach(milliseconds(4000 + each));
  EXPECT_EQ(request.broken(), 0U);
  request.reach(milliseconds(9000));
  EXPECT_EQ(request.broken(), 1U);
  auto killed = fault(fault_kind::router_kill);
  killed.begin = killed.end = start + milliseconds(7000);
  EXPECT_EQ(request.broken({killed}), 0U);
  killed.target = 2;
  EXPECT_EQ(request.broken({killed}), 1U);
  killed.kind = fault_kind::plain_fails;
  EXPECT_EQ(request.broken({killed}), 1U);
  killed.kind = fault_kind::store_down;
  EXPECT_EQ(request.broken({killed}), 0U);
}

// Guards against sends that servers reject and that aren't counted.
TEST(checks_test, counts_late_sends_that_end_no_server) {
  crashing_calls request;
  for (int each = 0; each < 3; ++each) request.reach(milliseconds(100 * each));
  for (int each = 0; each < 4; ++each) {
    EXPECT_EQ(request.broken(), 0U);
    request.reach(milliseconds(4000 + each), false);
  }
  EXPECT_EQ(request.broken(), 1U);
}

// Guards against servers that are told more time than their callers have left.
TEST(checks_test, finds_time_beyond_the_deadline) {
  std::vector<call_record> calls;
  std::vector<invariants::service_event> arrivals;
  const auto send = [&](int number, milliseconds after,
                        std::optional<milliseconds> time_left) {
    call_record call = answered();
    call.attempt = std::to_string(number);
    calls.push_back(call);
    arrivals.push_back({.service = "sheets",
                        .attempt = call.attempt,
                        .at = start + after,
                        .time_left = time_left});
  };
  const auto broken = [&] {
    return time_beyond_deadline(calls, arrivals, {}).size();
  };
  for (int each = 0; each < 21; ++each) {
    send(each, milliseconds(0), milliseconds(3000));
    send(each, milliseconds(600), milliseconds(2800));
  }
  EXPECT_EQ(broken(), 0U);
  for (int each = 0; each < 20; ++each) {
    send(100 + each, milliseconds(0), std::nullopt);
  }
  EXPECT_EQ(broken(), 0U);
  send(120, milliseconds(0), milliseconds(3600));
  EXPECT_EQ(broken(), 1U);
  // Where they are no fifth of all that were sent again late.
  for (int each = 200; each < 300; ++each) {
    send(each, milliseconds(0), milliseconds(3000));
    send(each, milliseconds(600), milliseconds(2400));
  }
  EXPECT_EQ(broken(), 0U);
  auto later = arrivals;
  for (auto& each : later) {
    const bool is_second = each.at > start;
    if (is_second) each.time_left = milliseconds(3000);
  }
  EXPECT_EQ(time_beyond_deadline(calls, later, {}).size(), 1U);
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
