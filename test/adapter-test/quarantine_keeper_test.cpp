#include "serve/quarantine_keeper.hpp"

#include <future>
#include <gtest/gtest.h>
#include <mutex>
#include <utility>
#include <vector>

#include <boragehill/result_code.hpp>

#include "kernel/event_loop.hpp"

namespace boragehill::serve {
namespace {

using fleet::quarantine_row;

/// A store that keeps calls for the test to answer.
class silent_store : public fleet::platform_store {
 public:
  struct call {
    quarantine_row row;
    quarantine_receiver answer;
  };

  void follow_catalog(catalog_receiver) override {}
  void follow_servers(servers_receiver) override {}
  void read_planner(state_receiver) override {}
  void take_planner(const fleet::planner_row&, const fleet::planner_row&,
                    planner_receiver) override {}
  void take_fence(const std::string&, number_receiver) override {}
  fleet::store_statistics statistics() const override { return {}; }
  void start() override {}
  void stop() override {}
  void write_quarantine(const quarantine_row& row,
                        quarantine_receiver receive) override {
    this->calls.push_back({row, std::move(receive)});
  }

  std::vector<call> calls;
};

class quarantine_keeper_test : public testing::Test {
 protected:
  quarantine_keeper_test() : loop("keeper", 16) { this->loop.start(); }
  ~quarantine_keeper_test() override { this->loop.stop(); }

  /// Runs on the keeper's thread, and waits.
  template <class Step>
  void run(Step step) {
    std::promise<void> done;
    this->loop.post([&] {
      step();
      done.set_value();
    });
    done.get_future().wait();
  }

  void write(const quarantine_row& row) {
    this->run([&] { this->keeper.write(row); });
  }

  /// Answers the last call.
  void answer(const result<quarantine_row>& standing) {
    this->run([&] { this->store.calls.back().answer(standing); });
    // The answer is posted behind the step.
    this->run([] {});
  }

  kernel::event_loop loop;
  silent_store store;
  quarantine_keeper keeper{loop, store};
  const quarantine_row first{.requests = {{"a", 1}}};
  const quarantine_row second{.requests = {{"a", 1}, {"b", 2}}};
  const quarantine_row third{.requests = {{"b", 2}}};
};

// Guards against a late write that takes the place of a newer one.
TEST_F(quarantine_keeper_test, writes_one_after_the_other) {
  this->run([this] { this->keeper.on_read({.version = 4}); });
  this->write(this->first);
  this->write(this->second);
  this->write(this->third);
  ASSERT_EQ(this->store.calls.size(), 1U);
  EXPECT_EQ(this->store.calls[0].row.version, 4);
  auto standing = this->first;
  standing.version = 5;
  this->answer(standing);
  ASSERT_EQ(this->store.calls.size(), 2U);
  EXPECT_EQ(this->store.calls[1].row.version, 5);
  EXPECT_EQ(this->store.calls[1].row.requests, this->third.requests);
}

TEST_F(quarantine_keeper_test, replaces_the_row_of_an_earlier_planner) {
  this->write(this->first);
  auto standing = this->third;
  standing.version = 9;
  this->answer(standing);
  ASSERT_EQ(this->store.calls.size(), 2U);
  EXPECT_EQ(this->store.calls[1].row.version, 9);
  EXPECT_EQ(this->store.calls[1].row.requests, this->first.requests);
  standing = this->first;
  standing.version = 10;
  this->answer(standing);
  EXPECT_EQ(this->store.calls.size(), 2U);
}

TEST_F(quarantine_keeper_test, goes_on_after_a_failed_write) {
  this->write(this->first);
  this->write(this->second);
  this->answer(result_code::platform_throttled);
  ASSERT_EQ(this->store.calls.size(), 2U);
  EXPECT_EQ(this->store.calls[1].row.requests, this->second.requests);
}

}  // namespace
}  // namespace boragehill::serve
