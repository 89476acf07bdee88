#include "router/publisher.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <thread>

#include "invariants/revisions_rise.hpp"
#include "turn_table.hpp"

namespace boragehill::router {
namespace {

profile_row row_of(const std::string& name, const std::string& publish_id) {
  return {.published = {.name = name, .services = {name}},
          .publish_id = publish_id,
          .source = "by " + publish_id};
}

TEST(publisher_test, counts_revisions_over_all_profiles) {
  fake_table table;
  publisher own(table);
  EXPECT_EQ(own.publish(row_of("a", "1"), 0).value(), 1u);
  EXPECT_EQ(own.publish(row_of("b", "2"), 0).value(), 2u);
  EXPECT_EQ(own.publish(row_of("a", "3"), 1).value(), 3u);
  EXPECT_EQ(own.read_history("a").value().size(), 2u);
  EXPECT_EQ(own.read_catalog().value().profiles.at("b"), 2u);
}

// Two operators edit one profile from the same revision. The second one's
// publish must not silently undo the first one's, however close they are.
TEST(publisher_test, refuses_a_change_made_from_an_older_revision) {
  fake_table table;
  publisher own(table);
  ASSERT_TRUE(own.publish(row_of("a", "1"), 0));
  table.before_write = [&] { (void)own.publish(row_of("a", "other"), 1); };
  const auto late = own.publish(row_of("a", "mine"), 1);
  ASSERT_FALSE(late);
  EXPECT_EQ(late.error(), result_code::profile_conflict);
  EXPECT_EQ(own.read_profile("a").value()->publish_id, "other");
}

TEST(publisher_test, tries_again_when_only_another_profile_came_first) {
  fake_table table;
  publisher own(table);
  table.before_write = [&] { (void)own.publish(row_of("b", "other"), 0); };
  EXPECT_EQ(own.publish(row_of("a", "mine"), 0).value(), 2u);
}

// The table writes the change and its answer is lost. The operator would be
// told of a failure, though the change is in force; so it is read back.
TEST(publisher_test, accepts_a_change_whose_answer_was_lost) {
  fake_table table;
  publisher own(table);
  table.fates = {write_fate::lost_after_it_stood};
  EXPECT_EQ(own.publish(row_of("a", "1"), 0).value(), 1u);
}

TEST(publisher_test, says_unconfirmed_when_nothing_can_be_read_back) {
  fake_table table;
  publisher own(table);
  table.fates = {write_fate::lost_before_it_stood};
  EXPECT_EQ(own.publish(row_of("a", "1"), 0).error(),
            result_code::profile_unconfirmed);
  table.fates = {write_fate::lost_after_it_stood};
  table.down_after_loss = true;
  EXPECT_EQ(own.publish(row_of("a", "1"), 0).error(),
            result_code::profile_unconfirmed);
}

// The operator follows the advice after "unconfirmed" and publishes again
// under the same id. The first one stood after all; asking again must neither
// conflict with itself nor count twice.
TEST(publisher_test, answers_the_same_publish_id_with_the_same_revision) {
  fake_table table;
  publisher own(table);
  table.fates = {write_fate::lost_after_it_stood};
  table.down_after_loss = true;
  ASSERT_FALSE(own.publish(row_of("a", "1"), 0));
  table.down = false;
  EXPECT_EQ(own.publish(row_of("a", "1"), 0).value(), 1u);
  EXPECT_EQ(own.read_catalog().value().revision, 1u);
}

// Two scripts publish without an id. One's write is lost and the other's takes
// its place; by the empty id the first would take the other's row for its own
// and report a change as accepted that stands nowhere.
TEST(publisher_test, tells_two_publishes_without_an_id_apart) {
  fake_table table;
  publisher own(table);
  table.fates = {write_fate::lost_before_it_stood, write_fate::answered};
  bool lost_first = false;
  table.before_write = [&] { lost_first = true; };
  ASSERT_FALSE(own.publish(row_of("a", ""), 0));
  ASSERT_TRUE(lost_first);
  ASSERT_TRUE(own.publish(row_of("a", ""), 0));
  const auto again = own.publish(row_of("a", ""), 0);
  ASSERT_FALSE(again);
  EXPECT_EQ(again.error(), result_code::profile_conflict);
}

// Profile a is read, then a and b are published, then b is read. With the new
// b and the old a in force under the newest revision, nothing would ever tell
// the router that its a is old.
TEST(publisher_test, reads_profiles_as_they_stood_together) {
  fake_table table;
  publisher own(table);
  ASSERT_TRUE(own.publish(row_of("a", "1"), 0));
  ASSERT_TRUE(own.publish(row_of("b", "2"), 0));
  table.between_rows = [&] {
    EXPECT_TRUE(own.publish(row_of("a", "3"), 1));
    EXPECT_TRUE(own.publish(row_of("b", "4"), 2));
  };
  const auto read = own.read_published().value();
  EXPECT_EQ(read.revision, 4u);
  ASSERT_EQ(read.profiles.size(), 2u);
  EXPECT_EQ(read.profiles.front().revision, 3u);
}

TEST(publisher_test, writes_nothing_while_the_table_is_down) {
  fake_table table;
  publisher own(table);
  table.down = true;
  EXPECT_EQ(own.publish(row_of("a", "1"), 0).error(),
            result_code::platform_down);
  table.down = false;
  EXPECT_TRUE(table.rows.empty());
}

struct accepted_change {
  std::uint64_t revision;
  std::string publish_id;
};

/// Publishes some changes of one profile, each from what stands then.
std::vector<accepted_change> publish_some(table_service& table,
                                          const std::string& who) {
  constexpr int changes = 4;
  publisher own(table);
  std::vector<accepted_change> accepted;
  for (int i = 0; i < changes; ++i) {
    const auto standing = own.read_profile("a");
    const std::uint64_t base =
        standing && standing.value() ? standing.value()->published.revision : 0;
    const std::string id = who + std::to_string(i);
    const auto done = own.publish(row_of("a", id), base);
    if (done) accepted.push_back({done.value(), id});
  }
  return accepted;
}

// Two operators publish the same profile at two routers at once, and answers
// get lost. A change that one of them was told is accepted must be in the
// history under just that revision, and no revision may come twice.
RC_GTEST_PROP(publisher_test, loses_no_accepted_change_when_two_race,
              (std::vector<bool> order, std::vector<bool> losses)) {
  fake_table table;
  for (std::size_t i = 0; i + 1 < losses.size(); i += 2) {
    const auto lost = losses[i + 1] ? write_fate::lost_after_it_stood
                                    : write_fate::lost_before_it_stood;
    table.fates.push_back(losses[i] ? lost : write_fate::answered);
  }
  turns schedule(std::move(order));
  turn_table first(table, schedule, false);
  turn_table second(table, schedule, true);
  std::vector<accepted_change> accepted;
  std::thread other([&] {
    accepted = publish_some(second, "second-");
    schedule.finish(true);
  });
  auto all = publish_some(first, "first-");
  schedule.finish(false);
  other.join();
  all.insert(all.end(), accepted.begin(), accepted.end());

  publisher reader(table);
  const auto history = reader.read_history("a").value();
  std::vector<std::uint64_t> revisions;
  std::map<std::uint64_t, std::string> ids;
  for (const auto& row : history) {
    revisions.push_back(row.published.revision);
    ids[row.published.revision] = row.publish_id;
  }
  RC_ASSERT(bool(invariants::revisions_rise(revisions)));
  RC_ASSERT(ids.size() == history.size());
  for (const auto& change : all) {
    RC_ASSERT(ids[change.revision] == change.publish_id);
  }
  const auto catalog = reader.read_catalog().value();
  if (history.empty()) return;
  RC_ASSERT(catalog.revision == history.back().published.revision);
  RC_ASSERT(*reader.read_profile("a").value() == history.back());
}

}  // namespace
}  // namespace boragehill::router
