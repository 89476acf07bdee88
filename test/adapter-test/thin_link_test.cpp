#include <gtest/gtest.h>
#include <string>

#include "adapter-test/feed_fixture.hpp"

namespace boragehill::platform {
namespace {

/// The thinnest link of the users' sheets, 10 Mbit/s.
constexpr std::size_t thin_link = 1250000;
constexpr std::size_t large_configuration = 32768;
constexpr int refused_status = 503;

class thin_link_test : public feed_fixture {
 protected:
  void SetUp() override { this->store.limit_link(thin_link); }

  /// Changes the row so many times while the store refuses this process.
  /// \return The newest value.
  std::string change_while_refused(int versions, std::size_t size) {
    this->store.refuse_with(refused_status);
    this->run_until([] { return false; }, milliseconds(1200));
    std::string newest;
    for (int each = 1; each <= versions; ++each) {
      newest = std::to_string(each) + std::string(size, 'x');
      this->store.put(newest);
    }
    this->store.refuse_with(0);
    return newest;
  }
};

// Guards against copies of one request that share a thin link until none of
// them is whole in time.
TEST_F(thin_link_test,
       a_refused_router_gets_the_configuration_while_it_changes) {
  this->begin();
  ASSERT_TRUE(this->time_to_learn("first", milliseconds(1000)));
  const auto confirmed = this->change_while_refused(40, large_configuration);
  int change = 0;
  const auto operator_changes = [&] {
    const std::string next = "later " + std::to_string(++change);
    this->store.put(next + std::string(large_configuration, 'x'));
  };
  const auto returned = time_point::clock::now();
  auto next_change = returned;
  const auto is_current = [&] {
    const auto now = time_point::clock::now();
    if (now >= next_change) {
      operator_changes();
      next_change = now + milliseconds(400);
    }
    return this->known == confirmed || this->known.starts_with("later");
  };
  EXPECT_TRUE(this->run_until(is_current, in_force_limit));
}

// Guards against catching up at the cost of all versions that were missed.
TEST_F(thin_link_test, catching_up_costs_what_the_newest_version_costs) {
  constexpr std::size_t size = 8192;
  this->begin();
  ASSERT_TRUE(this->time_to_learn("first", milliseconds(1000)));
  for (const int missed : {5, 50, 500}) {
    const auto newest = this->change_while_refused(missed, size);
    const auto before = this->store.bytes_sent();
    const auto time = this->time_to_learn(newest, in_force_limit);
    ASSERT_TRUE(time) << missed << " versions missed";
    const auto bytes = this->store.bytes_sent() - before;
    EXPECT_LE(bytes, 3 * size) << missed << " versions missed";
    this->RecordProperty("ms_after_" + std::to_string(missed),
                         std::to_string(time->count()));
    this->RecordProperty("bytes_after_" + std::to_string(missed),
                         std::to_string(bytes));
  }
}

}  // namespace
}  // namespace boragehill::platform
