#include "http/event_splitter.hpp"

#include <gtest/gtest.h>

namespace boragehill::http {
namespace {

TEST(event_splitter_test, passes_on_complete_events_only) {
  event_splitter events;
  EXPECT_EQ(events.feed("id: 1\ndata: a\n"), "");
  EXPECT_EQ(events.feed("\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(events.last_id(), "1");
  EXPECT_EQ(events.incomplete(), "id: 2\nda");
}

TEST(event_splitter_test, goes_on_elsewhere_behind_the_last_complete_event) {
  // A worker dies in the middle of an event. The stream goes on at another
  // worker behind the last whole event, so the caller sees none twice.
  event_splitter events;
  std::string seen = events.feed("id: 1\ndata: a\n\nid: 2\ndata: b");
  events.restart();
  EXPECT_EQ(events.last_id(), "1");
  seen += events.feed("id: 2\ndata: b\n\n");
  EXPECT_EQ(seen, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_EQ(events.last_id(), "2");
}

// Guards against events that a caller gets twice from a run that should go on.
TEST(event_splitter_test, passes_on_no_event_that_came_before_a_restart) {
  event_splitter events;
  events.feed("id: 8\ndata: a\n\nid: 9\ndata: b\n\nid: 10\nda");
  events.restart();
  EXPECT_EQ(events.feed("data: no id\n\nid: 9\ndata: b\n\nid: 10\n"),
            "data: no id\n\n");
  EXPECT_TRUE(events.repeats());
  EXPECT_EQ(events.feed("data: c\n\n"), "");
  EXPECT_EQ(events.last_id(), "9");
  events.restart();
  EXPECT_FALSE(events.repeats());
  EXPECT_EQ(events.feed("id: 10\ndata: c\n\n"), "id: 10\ndata: c\n\n");
  EXPECT_FALSE(events.repeats());
}

TEST(event_splitter_test, passes_on_no_event_that_its_caller_had_before) {
  event_splitter events;
  events.begin_after("4");
  EXPECT_EQ(events.last_id(), "4");
  events.restart();
  EXPECT_EQ(events.feed("id: 4\ndata: a\n\n"), "");
  EXPECT_TRUE(events.repeats());
}

TEST(event_splitter_test, compares_only_ids_that_are_numbers) {
  event_splitter events;
  events.feed("id: b\ndata: 1\n\n");
  events.restart();
  EXPECT_EQ(events.feed("id: a\ndata: 2\n\n"), "id: a\ndata: 2\n\n");
  EXPECT_FALSE(events.repeats());
}

TEST(event_splitter_test, knows_both_ends_of_line) {
  event_splitter events;
  EXPECT_EQ(events.feed("id:7\r\n\r\nid:8"), "id:7\r\n\r\n");
  EXPECT_EQ(events.last_id(), "7");
}

TEST(event_splitter_test, knows_an_end_whose_lines_end_differently) {
  event_splitter events;
  EXPECT_EQ(events.feed("data: a\n\r\nid: 2\r\n"), "data: a\n\r\n");
  EXPECT_EQ(events.feed("\n"), "id: 2\r\n\n");
  EXPECT_EQ(events.event_count(), 2U);
  EXPECT_EQ(events.incomplete(), "");
}

TEST(event_splitter_test, knows_each_end_of_line_wherever_it_is_split) {
  for (const std::string text :
       {"id: 1\r\ndata: a\r\n\r\nid: 2\r\n", "id: 1\ndata: a\n\nid: 2\n",
        "id: 1\rdata: a\r\rid: 2\r"}) {
    for (std::size_t split = 0; split <= text.size(); ++split) {
      event_splitter events;
      auto seen = events.feed(std::string_view(text).substr(0, split));
      seen += events.feed(std::string_view(text).substr(split));
      EXPECT_EQ(events.event_count(), 1U) << split;
      EXPECT_EQ(events.last_id(), "1") << split;
      EXPECT_TRUE(events.inside_event()) << split;
      EXPECT_EQ(seen + events.incomplete(), text) << split;
    }
  }
}

TEST(event_splitter_test, is_inside_an_event_from_its_first_field_on) {
  event_splitter events;
  EXPECT_FALSE(events.inside_event());
  for (const char* begun :
       {"d", "data: a\n", "id: 1\r\ndata: a\r\n", ":c\nd"}) {
    events.restart();
    events.feed(begun);
    EXPECT_TRUE(events.inside_event()) << begun;
  }
  for (const char* none : {"", "\n", "\r", ": comment", ": comment\n",
                           "data: a\n\n", "data: a\n\n: comment"}) {
    events.restart();
    events.feed(none);
    EXPECT_FALSE(events.inside_event()) << none;
  }
}

TEST(event_splitter_test, counts_the_events_since_a_restart) {
  event_splitter events;
  events.feed("data: a\n\n: comment\n\n\ndata: b\n\ndata: c\n");
  EXPECT_EQ(events.event_count(), 2U);
  events.restart();
  EXPECT_EQ(events.event_count(), 0U);
}

}  // namespace
}  // namespace boragehill::http
