#include "decide/stream_origins.hpp"

#include <gtest/gtest.h>
#include <string>

namespace boragehill::decide {
namespace {

const time_point start{std::chrono::seconds(100)};

stream_origin origin_at(const std::string& software,
                        milliseconds lifetime = milliseconds(1000)) {
  return {.service = "assist", .software = software, .lifetime = lifetime};
}

TEST(stream_origins_test, tells_where_a_stream_began) {
  stream_origins streams;
  EXPECT_TRUE(streams.record("s1", origin_at("a"), start));
  EXPECT_EQ(streams.find("s1", start), origin_at("a"));
  EXPECT_FALSE(streams.find("s2", start));
  EXPECT_FALSE(streams.find("", start));
}

TEST(stream_origins_test, the_last_record_counts) {
  stream_origins streams;
  streams.record("s1", origin_at("a"), start);
  streams.record("s1", origin_at("b"), start + milliseconds(10));
  EXPECT_EQ(streams.find("s1", start + milliseconds(10)), origin_at("b"));
  EXPECT_EQ(streams.size(), 1U);
  // The same once more is no second stream, and starts its time anew.
  streams.record("s1", origin_at("b"), start + milliseconds(500));
  EXPECT_EQ(streams.size(), 1U);
  EXPECT_TRUE(streams.find("s1", start + milliseconds(1499)));
}

TEST(stream_origins_test, a_stream_is_unknown_once_its_time_is_over) {
  stream_origins streams;
  streams.record("s1", origin_at("a"), start);
  EXPECT_TRUE(streams.find("s1", start + milliseconds(999)));
  EXPECT_FALSE(streams.find("s1", start + milliseconds(1000)));
  EXPECT_FALSE(streams.find("s1", start + std::chrono::hours(1)));
  // A record that comes too late tells nothing.
  streams.record("s2", origin_at("a", milliseconds(0)), start);
  streams.record("s3", origin_at("a", milliseconds(-5)), start);
  EXPECT_FALSE(streams.find("s2", start));
  EXPECT_FALSE(streams.find("s3", start));
  EXPECT_TRUE(streams.all(start + milliseconds(1000)).empty());
}

// Guards against a stream that lives on because routers tell each other of it.
TEST(stream_origins_test, the_time_that_is_left_is_handed_on) {
  stream_origins streams;
  streams.record("s1", origin_at("a"), start);
  const auto later = start + milliseconds(400);
  EXPECT_EQ(streams.find("s1", later), origin_at("a", milliseconds(600)));
  stream_origins keeper;
  for (const auto& [stream, origin] : streams.all(later)) {
    keeper.record(stream, origin, later);
  }
  EXPECT_TRUE(keeper.find("s1", start + milliseconds(999)));
  EXPECT_FALSE(keeper.find("s1", start + milliseconds(1000)));
  // A part of a millisecond isn't taken for none.
  const auto last = start + milliseconds(1000) - std::chrono::microseconds(1);
  EXPECT_EQ(streams.find("s1", last), origin_at("a", milliseconds(1)));
}

TEST(stream_origins_test, all_are_those_whose_time_is_not_over) {
  stream_origins streams;
  EXPECT_TRUE(streams.all(start).empty());
  streams.record("s1", origin_at("a", milliseconds(100)), start);
  streams.record("s2", origin_at("b", milliseconds(300)), start);
  streams.record("s3", origin_at("c", milliseconds(500)), start);
  const std::map<std::string, stream_origin> expected{
      {"s2", origin_at("b", milliseconds(200))},
      {"s3", origin_at("c", milliseconds(400))}};
  EXPECT_EQ(streams.all(start + milliseconds(100)), expected);
  EXPECT_EQ(streams.size(), 3U);
  streams.drop_expired(start + milliseconds(100));
  EXPECT_EQ(streams.size(), 2U);
  EXPECT_EQ(streams.all(start + milliseconds(100)), expected);
}

// Guards against a memory that grows with the callers.
TEST(stream_origins_test, a_full_record_takes_no_further_streams) {
  stream_origins streams;
  for (std::size_t each = 0; each < stream_origins::capacity; ++each) {
    const auto lifetime = milliseconds(each % 2 == 0 ? 100 : 1000);
    ASSERT_TRUE(streams.record("s" + std::to_string(each),
                               origin_at("a", lifetime), start));
  }
  EXPECT_FALSE(streams.record("new", origin_at("a"), start));
  EXPECT_FALSE(streams.find("new", start));
  EXPECT_EQ(streams.size(), stream_origins::capacity);
  // What is known already may change.
  EXPECT_TRUE(streams.record("s1", origin_at("b"), start));
  EXPECT_EQ(streams.find("s1", start), origin_at("b"));
  const auto later = start + milliseconds(100);
  streams.drop_expired(later);
  EXPECT_EQ(streams.size(), stream_origins::capacity / 2);
  EXPECT_TRUE(streams.record("new", origin_at("a"), later));
  EXPECT_EQ(streams.find("new", later), origin_at("a"));
}

}  // namespace
}  // namespace boragehill::decide
