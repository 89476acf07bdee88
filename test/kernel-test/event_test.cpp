#include <gtest/gtest.h>
#include <set>

#include "kernel/event_log.hpp"

namespace boragehill::kernel {
namespace {

TEST(event_test, every_event_has_a_name_and_a_number_of_its_own) {
  std::set<int> numbers;
  std::set<std::string_view> names;
  for (const event each : all_events()) {
    EXPECT_NE(name_of(each), "unknown_event");
    numbers.insert(static_cast<int>(each));
    names.insert(name_of(each));
  }
  EXPECT_EQ(numbers.size(), all_events().size());
  EXPECT_EQ(names.size(), all_events().size());
  EXPECT_EQ(name_of(static_cast<event>(999)), "unknown_event");
}

TEST(event_test, fields_of_all_kinds_are_written) {
  const std::error_code error(110, std::generic_category());
  EXPECT_EQ(format_event(event::request_refused, {{"model", "m1"},
                                                  {"waiting", 3u},
                                                  {"local", true},
                                                  {"error", error}}),
            "event=601 name=request_refused model=m1 waiting=3 local=true "
            "error=\"110:Connection timed out\"");
}

TEST(event_test, a_value_can_not_forge_a_line_or_a_field) {
  // An operator would see events that never happened.
  // A caller sends a header with a line end and text like a log line.
  // Cause: a value that is written as it came.
  EXPECT_EQ(format_event(event::retry, {{"path", "a\nevent=1 b=\"c\\"}}),
            "event=605 name=retry path=\"a\\u000aevent=1 b=\\\"c\\\\\"");
  const std::string longest(300, 'x');
  EXPECT_EQ(format_event(event::retry, {{"path", longest}}),
            "event=605 name=retry path=" + longest.substr(0, 256));
}

}  // namespace
}  // namespace boragehill::kernel
