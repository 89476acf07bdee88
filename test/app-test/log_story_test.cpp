#include "app/log_story.hpp"

#include <gtest/gtest.h>

namespace boragehill::app {
namespace {

std::vector<log_line> lines_of(const std::vector<std::string>& texts) {
  std::vector<log_line> lines;
  for (const auto& each : texts) {
    if (auto line = parse_log_line(each)) lines.push_back(std::move(*line));
  }
  return lines;
}

std::vector<std::string> names_of(const std::vector<log_line>& story) {
  std::vector<std::string> names;
  names.reserve(story.size());
  for (const auto& each : story) names.push_back(each.name);
  return names;
}

TEST(log_line_test, reads_fields_and_what_stands_before) {
  const auto line = parse_log_line(
      "  1.5 front-1 time_ms=1500 level=info event=601 name=request_refused "
      "request=ab12 adapter=\"\" reason=\"a \\\"quoted\\\" word\" left=3");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->time_ms, 1500);
  EXPECT_EQ(line->source, "  1.5 front-1 ");
  EXPECT_EQ(line->name, "request_refused");
  EXPECT_EQ(line->field("request"), "ab12");
  EXPECT_EQ(line->field("adapter"), "");
  EXPECT_EQ(line->field("reason"), "a \"quoted\" word");
  EXPECT_EQ(line->field("left"), "3");
}

TEST(log_line_test, passes_over_what_is_no_event) {
  for (const char* text : {"", "time_ms=", "time_ms=5", "hello", "ran 12",
                           "time_ms=5 level=info name=\"", "time_ms=5 a"}) {
    EXPECT_FALSE(parse_log_line(text)) << text;
  }
}

TEST(log_story_test, tells_a_refused_request_from_its_id) {
  // A caller complains with nothing but the id. Its model was being loaded for
  // it while a worker that held it had just gone.
  const auto lines = lines_of({
      "time_ms=900 name=residency_decided model=m1 server=i-9 why=wake",
      "time_ms=5000 name=request_refused request=ab12 model=m1 all_ms=1200",
      "time_ms=4100 name=residency_decided model=m1 server=i-1 why=wake",
      "time_ms=4150 name=load_ordered model=m1 server=i-1 answer=accepted",
      "time_ms=4200 name=load_ordered model=m2 server=i-2 answer=accepted",
      "time_ms=4300 name=request_answered request=cd34 model=m1 server=i-1",
      "time_ms=4400 name=planner_lost term=3",
  });
  EXPECT_EQ(names_of(story_of(lines, "ab12")),
            (std::vector<std::string>{"residency_decided", "load_ordered",
                                      "planner_lost", "request_refused"}));
  EXPECT_TRUE(story_of(lines, "unknown").empty());
}

TEST(log_story_test, follows_the_servers_it_was_sent_to) {
  const auto lines = lines_of({
      "time_ms=2000 name=attempt_refused request=ab12 server=i-1",
      "time_ms=2010 name=answer_broken request=ab12 server=i-1 all_ms=500",
      "time_ms=3500 name=server_gone server=i-1 version=66",
      "time_ms=3500 name=server_gone server=i-2 version=66",
      "time_ms=9000 name=server_listed server=i-1 version=70",
  });
  EXPECT_EQ(names_of(story_of(lines, "ab12")),
            (std::vector<std::string>{"attempt_refused", "answer_broken",
                                      "server_gone"}));
}

}  // namespace
}  // namespace boragehill::app
