#include "decide/stream_resumption.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace boragehill::decide {
namespace {

constexpr milliseconds longest_wait{2000};
constexpr milliseconds long_waits[] = {longest_wait, milliseconds(60000)};
constexpr milliseconds short_waits[] = {milliseconds(0), milliseconds(1999)};

using enum planner_word;

const version_binding bound_to_sole = only_version{"sole"};
const version_binding asked = awaited_version{};
const version_binding nowhere = unknown_version{};

/// What is known of a stream whose origin isn't, and what follows.
struct known_case {
  planner_word planner;
  bool has_sole;
  bool is_named;
  bool is_history_known;
  /// Before the longest wait, and from then on.
  version_binding in_time;
  version_binding late;
};

const std::vector<known_case> cases{
    {unlinked, false, false, true, nowhere, nowhere},
    {unlinked, false, true, true, asked, nowhere},
    // A second version may have left before this router started.
    {unlinked, true, false, false, nowhere, nowhere},
    {unlinked, true, false, true, bound_to_sole, bound_to_sole},
    // The planner may know of a second version, and this router be cut off.
    {unlinked, true, true, true, asked, nowhere},
    {awaited, false, false, true, nowhere, nowhere},
    {awaited, false, true, true, asked, nowhere},
    {awaited, true, false, false, nowhere, nowhere},
    {awaited, true, false, true, bound_to_sole, bound_to_sole},
    {awaited, true, true, true, asked, nowhere},
    {unknown, false, false, true, nowhere, nowhere},
    {unknown, false, true, true, nowhere, nowhere},
    {unknown, true, false, false, nowhere, nowhere},
    {unknown, true, false, true, bound_to_sole, bound_to_sole},
    // A planner that is cut off together with this router knows as little.
    {unknown, true, true, true, nowhere, nowhere},
    {unknown, true, true, false, nowhere, nowhere},
};

stream_resumption stream_of(const known_case& known, milliseconds waited) {
  stream_resumption stream{.is_history_known = known.is_history_known,
                           .is_named = known.is_named,
                           .planner = known.planner,
                           .waited = waited};
  if (known.has_sole) stream.sole_version = "sole";
  return stream;
}

void expect_binding(const stream_resumption& stream,
                    const version_binding& expected) {
  EXPECT_EQ(bind_version(stream), expected)
      << "planner " << static_cast<int>(stream.planner) << ", sole version "
      << stream.sole_version.value_or("none") << ", named " << stream.is_named
      << ", waited " << stream.waited.count();
}

// Guards against streams that go on anywhere, or never, as long as something
// is unknown.
TEST(stream_resumption_test, every_stream_without_an_origin_is_bound) {
  for (const auto& known : cases) {
    for (const auto waited : short_waits) {
      expect_binding(stream_of(known, waited), known.in_time);
    }
    for (const auto waited : long_waits) {
      expect_binding(stream_of(known, waited), known.late);
    }
  }
}

// Guards against a known origin that something else overrules.
TEST(stream_resumption_test, a_known_origin_goes_before_all_else) {
  for (const auto& known : cases) {
    for (const auto waited : {short_waits[0], short_waits[1], long_waits[0]}) {
      auto stream = stream_of(known, waited);
      stream.origin = "begun";
      expect_binding(stream, only_version{"begun"});
    }
  }
}

// Guards against an empty version that is taken for none.
TEST(stream_resumption_test, a_server_that_tells_no_version_has_one) {
  EXPECT_EQ(bind_version({.origin = "", .sole_version = "sole"}),
            version_binding(only_version{""}));
  EXPECT_EQ(bind_version({.sole_version = "", .is_history_known = true}),
            version_binding(only_version{""}));
}

// Guards against callers that wait for a planner that never answers.
TEST(stream_resumption_test, a_wait_ends_whether_the_planner_answers_or_not) {
  stream_resumption stream{.is_named = true, .planner = unlinked};
  EXPECT_TRUE(is_awaited(bind_version(stream)));
  stream.planner = awaited;
  stream.waited = longest_wait - milliseconds(1);
  EXPECT_TRUE(is_awaited(bind_version(stream)));
  stream.waited = longest_wait;
  EXPECT_TRUE(is_unknown(bind_version(stream)));
  // An answer that comes late still counts.
  stream.origin = "begun";
  EXPECT_EQ(bind_version(stream), version_binding(only_version{"begun"}));
}

}  // namespace
}  // namespace boragehill::decide
