#include "decide/revision_view.hpp"

#include <cstdint>
#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

#include "invariants/revisions_rise.hpp"

namespace boragehill::decide {
namespace {

using names = std::vector<std::string>;

const time_point start{milliseconds{100000}};

time_point at(int ms) {
  return start + milliseconds{ms};
}

/// A router with revision 5, confirmed by the table at `start`. Confirmations
/// are valid for 10 s, and ticks come every second.
class revision_view_test : public ::testing::Test {
 protected:
  revision_view_test() {
    this->view.apply(5);
    this->view.on_table_read(5, start);
  }

  revision_readiness readiness(const names& peers, int ms) {
    for (; this->ticked_ms < ms; this->ticked_ms += 1000) {
      this->view.on_tick(at(this->ticked_ms));
    }
    return this->view.readiness(peers, at(ms));
  }

  revision_view view{{}, start};
  int ticked_ms = 0;
};

TEST_F(revision_view_test, is_unready_after_the_confirmation_expires) {
  EXPECT_EQ(this->readiness({"r2"}, 10000), revision_readiness::ready);
  EXPECT_EQ(this->readiness({"r2"}, 10001), revision_readiness::unconfirmed);
  EXPECT_FALSE(this->view.on_table_read(5, at(10000)));
  EXPECT_EQ(this->readiness({"r2"}, 10001), revision_readiness::ready);
}

TEST_F(revision_view_test, accepts_a_peers_confirmation_with_its_age) {
  this->view.on_peer_response("r2", {5, milliseconds{4000}}, at(9000));
  EXPECT_EQ(this->view.confirmed_age(at(9000)), milliseconds{4000});
  EXPECT_EQ(this->readiness({"r2"}, 15000), revision_readiness::ready);
  EXPECT_EQ(this->readiness({"r2"}, 15001), revision_readiness::unconfirmed);
}

TEST_F(revision_view_test, is_not_confirmed_by_a_newer_revision) {
  EXPECT_TRUE(this->view.on_table_read(6, at(9000)));
  EXPECT_TRUE(
      this->view.on_peer_response("r2", {6, milliseconds{0}}, at(9000)));
  EXPECT_EQ(this->readiness({"r2"}, 10001), revision_readiness::unconfirmed);
  EXPECT_TRUE(this->view.apply(6));
  this->view.on_table_read(6, at(9000));
  EXPECT_EQ(this->readiness({"r2"}, 10001), revision_readiness::ready);
}

TEST_F(revision_view_test, stays_ready_while_no_router_reaches_the_table) {
  // During an hour's outage of the table every router's last confirmation
  // expires. No new revision can be published then, so the routers must keep
  // serving.
  for (int ms = 1000; ms <= 30000; ms += 1000) {
    const milliseconds age{ms};
    this->view.on_peer_response("r2", {5, age}, at(ms));
    this->view.on_peer_response("r3", {5, std::nullopt}, at(ms));
    // Checked just before the response to the next heartbeat.
    ASSERT_EQ(this->readiness({"r2", "r3"}, ms + 900),
              revision_readiness::ready);
  }
  this->view.on_peer_response("r3", {6, std::nullopt}, at(30000));
  EXPECT_EQ(this->readiness({"r2", "r3"}, 30001),
            revision_readiness::unconfirmed);
}

TEST_F(revision_view_test,
       is_unready_when_an_unresponsive_peer_may_reach_the_table) {
  // This router cannot reach the table or r3, while an operator publishes
  // through r3, which can. Callers here would get the replaced profile.
  this->view.on_peer_response("r2", {5, std::nullopt}, at(11000));
  EXPECT_EQ(this->readiness({"r2"}, 11000), revision_readiness::ready);
  EXPECT_EQ(this->readiness({"r2", "r3"}, 11000),
            revision_readiness::unconfirmed);
  EXPECT_EQ(this->readiness({"r2"}, 14001), revision_readiness::unconfirmed);
  EXPECT_EQ(this->readiness({}, 14001), revision_readiness::ready);
}

TEST_F(revision_view_test,
       is_unready_when_partitioned_off_with_half_of_the_fleet) {
  // A network partition separates two regions, and this one from the table.
  // Operators publish in the other, and callers here would get the replaced
  // profile.
  const names peers{"r2", "r3", "r4", "r5", "r6"};
  for (const char* reachable : {"r2", "r3", "r4"}) {
    this->view.on_peer_response(reachable, {5, std::nullopt}, at(11000));
  }
  EXPECT_EQ(this->readiness(peers, 11000), revision_readiness::ready);
  this->view.on_peer_unresponsive("r5", at(11000));
  EXPECT_EQ(this->readiness(peers, 11000), revision_readiness::ready);
  this->view.on_peer_unresponsive("r6", at(11000));
  EXPECT_EQ(this->readiness(peers, 11000), revision_readiness::unconfirmed);
}

TEST_F(revision_view_test, requires_a_new_confirmation_after_a_pause) {
  // A router VM is paused for a minute while an operator publishes. When it
  // resumes, its sockets hold requests and a table response from before the
  // pause; it must not admit these requests under the old profile.
  EXPECT_EQ(this->readiness({"r2"}, 1000), revision_readiness::ready);
  EXPECT_EQ(this->view.readiness({"r2"}, at(4001)), revision_readiness::paused);
  this->view.on_tick(at(4001));
  this->view.on_table_read(5, at(900));
  EXPECT_EQ(this->view.readiness({"r2"}, at(4001)), revision_readiness::paused);
  this->view.on_peer_response("r2", {5, milliseconds{100}}, at(4050));
  EXPECT_EQ(this->view.readiness({"r2"}, at(4060)), revision_readiness::paused);
  this->view.on_table_read(5, at(4050));
  EXPECT_EQ(this->view.readiness({"r2"}, at(4060)), revision_readiness::ready);
}

TEST_F(revision_view_test, ignores_peer_responses_from_before_a_pause) {
  // As above, but the peers could not reach the table before the pause either.
  // It may have come back since, so their earlier responses do not show that
  // the revision is unchanged.
  revision_view paused_view({.pause_threshold = milliseconds{1000}}, start);
  paused_view.apply(5);
  paused_view.on_peer_response("r2", {5, std::nullopt}, at(900));
  EXPECT_EQ(paused_view.readiness({"r2"}, at(1000)), revision_readiness::ready);
  paused_view.on_tick(at(1500));
  EXPECT_NE(paused_view.readiness({"r2"}, at(1500)), revision_readiness::ready);
}

TEST_F(revision_view_test, admits_nothing_without_a_catalog) {
  const revision_view without_catalog({}, start);
  EXPECT_EQ(without_catalog.readiness({}, start),
            revision_readiness::no_catalog);
  EXPECT_EQ(without_catalog.confirmed_age(start), std::nullopt);
}

TEST_F(revision_view_test, never_returns_to_an_older_revision) {
  for (unsigned seed = 0; seed < 100; ++seed) {
    std::mt19937 random(seed);
    revision_view random_view({}, start);
    std::vector<std::uint64_t> in_force;
    for (int i = 0; i < 100; ++i) {
      const std::uint64_t revision = random() % 50;
      const time_point sent_at = at(static_cast<int>(random() % 9000));
      const bool newer =
          random() % 2 == 0
              ? random_view.on_table_read(revision, sent_at)
              : random_view.on_peer_response("r2", {revision}, sent_at);
      if (newer || random() % 4 == 0) random_view.apply(revision);
      in_force.push_back(random_view.revision());
    }
    ASSERT_TRUE(invariants::revisions_rise(in_force)) << "seed " << seed;
  }
}

}  // namespace
}  // namespace boragehill::decide
