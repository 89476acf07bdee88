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

TEST(event_splitter_test, knows_both_ends_of_line) {
  event_splitter events;
  EXPECT_EQ(events.feed("id:7\r\n\r\nid:8"), "id:7\r\n\r\n");
  EXPECT_EQ(events.last_id(), "7");
}

}  // namespace
}  // namespace boragehill::http
