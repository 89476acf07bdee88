#include "platform/table_feed.hpp"

#include <gtest/gtest.h>

#include "adapter-test/feed_fixture.hpp"

namespace boragehill::platform {
namespace {

class table_feed_test : public feed_fixture {};

class swallowed_polls_test : public table_feed_test {
 protected:
  /// Lets the store swallow so many polls and change right after its return.
  /// \return True if the feed learns of that within the limit.
  bool learns_after(int swallowed, const std::string& news) {
    const int before = this->store.swallowed();
    this->store.fall_silent();
    const auto all_swallowed = [&] {
      return this->store.swallowed() >= before + swallowed;
    };
    if (!this->run_until(all_swallowed, milliseconds(15000))) return false;
    this->store.come_back();
    this->store.put(news);
    return this->learns(news, in_force_limit);
  }
};

TEST_F(swallowed_polls_test, delay_no_news_beyond_the_limit) {
  // Callers got 404 for a route that had been confirmed 2.1 s before. The store
  // had been silent for six seconds: it took calls and never answered them. A
  // poll that went out 0.05 s before its return was waited for to its limit
  // (event 307: sent, call_ms=3000) and 0.3 s more, while other connections of
  // the same process were answered in 7 ms.
  this->begin();
  ASSERT_TRUE(this->learns("first", milliseconds(1000)));
  for (const int swallowed : {1, 2, 3, 4}) {
    const std::string news = "after " + std::to_string(swallowed);
    EXPECT_TRUE(this->learns_after(swallowed, news)) << swallowed;
    // Whatever hangs runs out, and the feed follows the store again.
    ASSERT_TRUE(this->learns(news, milliseconds(8000)));
  }
}

TEST_F(table_feed_test, learns_of_a_change_at_once) {
  this->begin();
  ASSERT_TRUE(this->learns("first", milliseconds(1000)));
  this->store.put("second");
  EXPECT_TRUE(this->learns("second", milliseconds(600)));
  this->store.put("third");
  EXPECT_TRUE(this->learns("third", milliseconds(600)));
  EXPECT_TRUE(this->in_reach);
}

TEST_F(table_feed_test, learns_what_was_written_again_below_a_known_version) {
  // Guards against changes that are missed after the store was restored from an
  // older copy and its counter has caught up.
  this->begin();
  ASSERT_TRUE(this->learns("first", milliseconds(1000)));
  this->store.put("lost");
  ASSERT_TRUE(this->learns("lost", milliseconds(1000)));
  this->store.restore({"first", "written again"});
  EXPECT_TRUE(this->learns("written again", in_force_limit));
}

TEST_F(table_feed_test, learns_of_a_change_from_a_store_that_is_slow) {
  // A store that takes most of a second for each answer is slow, not away: who
  // gives up each call before its answer would never learn anything.
  this->begin();
  ASSERT_TRUE(this->learns("first", milliseconds(1000)));
  this->store.answer_after(milliseconds(800));
  this->store.put("second");
  EXPECT_TRUE(this->learns("second", in_force_limit));
  this->store.put("third");
  EXPECT_TRUE(this->learns("third", in_force_limit));
}

TEST_F(table_feed_test, says_when_the_store_is_lost_and_back) {
  this->begin();
  ASSERT_TRUE(this->learns("first", milliseconds(1000)));
  ASSERT_TRUE(this->in_reach);
  this->store.fall_silent();
  ASSERT_TRUE(
      this->run_until([this] { return !this->in_reach; }, milliseconds(5000)));
  this->store.come_back();
  EXPECT_TRUE(
      this->run_until([this] { return this->in_reach; }, in_force_limit));
}

TEST_F(table_feed_test, a_refusing_store_is_not_pressed) {
  this->begin();
  ASSERT_TRUE(this->learns("first", milliseconds(1000)));
  this->store.refuse_with(429);
  this->store.put("second");
  const int before = this->store.answered();
  this->run_until([] { return false; }, milliseconds(2000));
  EXPECT_LE(this->store.answered() - before, 10);
  this->store.refuse_with(0);
  EXPECT_TRUE(this->learns("second", in_force_limit));
}

}  // namespace
}  // namespace boragehill::platform
