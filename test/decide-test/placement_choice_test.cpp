#include "decide/placement_choice.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "invariants/grants_spread.hpp"

namespace boragehill::decide {
namespace {

using names = std::vector<std::string>;

placement_server server_in(const std::string& id, const std::string& domain) {
  return {.id = id,
          .failure_domain = domain,
          .region = "texas",
          .capacity_bytes = 100,
          .free_bytes = 100};
}

TEST(placement_choice_test, prefers_spread_over_a_cached_checkpoint) {
  placement_server cached = server_in("s2", "a");
  cached.tier = checkpoint_tier::memory;
  const placement_request request{
      .model = "m",
      .bytes = 60,
      .wanted_grants = 2,
      .granted_servers = {"s1"},
      .servers = {server_in("s1", "a"), cached, server_in("s3", "b")}};
  EXPECT_EQ(choose_grant_servers(request), names{"s3"});
}

TEST(placement_choice_test,
     prefers_a_cached_checkpoint_then_the_least_granted) {
  placement_server granted = server_in("s1", "a");
  granted.granted_bytes = 300;
  placement_server cached = granted;
  cached.id = "s2";
  cached.tier = checkpoint_tier::disk;
  placement_request request{.model = "m",
                            .bytes = 60,
                            .servers = {server_in("s3", "a"), granted, cached}};
  EXPECT_EQ(choose_grant_servers(request), names{"s2"});
  request.servers.pop_back();
  EXPECT_EQ(choose_grant_servers(request), names{"s3"});
}

TEST(placement_choice_test, replaces_a_suspected_server_within_the_maximum) {
  // The replica of a server that stopped responding may still be loaded, so its
  // grant is kept. A further grant restores the model, up to the configured
  // maximum.
  placement_server suspected = server_in("s1", "a");
  suspected.suspected = true;
  placement_request request{.model = "m",
                            .bytes = 60,
                            .wanted_grants = 1,
                            .max_grants = 2,
                            .granted_servers = {"s1"},
                            .servers = {suspected, server_in("s2", "b")}};
  EXPECT_EQ(choose_grant_servers(request), names{"s2"});
  request.max_grants = 1;
  EXPECT_TRUE(choose_grant_servers(request).empty());
}

TEST(placement_choice_test, spreads_evenly_and_skips_unsuitable_servers) {
  for (unsigned seed = 0; seed < 300; ++seed) {
    std::mt19937 random(seed);
    placement_request request{
        .model = "m",
        .bytes = 60,
        .wanted_grants = static_cast<std::uint32_t>(1 + random() % 12)};
    std::map<std::string, std::size_t> grants;
    std::map<std::string, std::size_t> suitable_servers;
    for (unsigned i = 0; i < 20; ++i) {
      const std::string domain(1, static_cast<char>('a' + random() % 4));
      placement_server server = server_in("s" + std::to_string(i), domain);
      server.granted_bytes = random() % 500;
      server.draining = random() % 5 == 0;
      server.suspected = random() % 5 == 0;
      if (random() % 5 == 0) server.capacity_bytes = 59;
      grants[domain] += 0;
      const bool is_suitable = !server.draining && !server.suspected &&
                               server.capacity_bytes >= request.bytes;
      suitable_servers[domain] += is_suitable ? 1 : 0;
      request.servers.push_back(server);
    }
    const std::size_t suitable_total =
        suitable_servers["a"] + suitable_servers["b"] + suitable_servers["c"] +
        suitable_servers["d"];
    const names chosen = choose_grant_servers(request);
    ASSERT_EQ(chosen.size(),
              std::min<std::size_t>(request.wanted_grants, suitable_total));
    for (const std::string& id : chosen) {
      const auto& server =
          *std::ranges::find(request.servers, id, &placement_server::id);
      ASSERT_FALSE(server.draining || server.suspected);
      ASSERT_GE(server.capacity_bytes, request.bytes);
      grants[server.failure_domain] += 1;
      suitable_servers[server.failure_domain] -= 1;
    }
    ASSERT_TRUE(invariants::grants_spread(grants, suitable_servers))
        << "seed " << seed;
    std::ranges::shuffle(request.servers, random);
    ASSERT_EQ(choose_grant_servers(request), chosen) << "seed " << seed;
  }
}

TEST(placement_choice_test, chooses_the_server_that_is_ready_soonest) {
  using wire::replica_state;
  // In order of preference.
  const std::vector<load_candidate> ranked{
      {.server = "ready", .state = replica_state::ready},
      {.server = "soon",
       .state = replica_state::loading,
       .ready_in = milliseconds{10}},
      {.server = "later",
       .state = replica_state::loading,
       .ready_in = milliseconds{20}},
      {.server = "memory", .tier = checkpoint_tier::memory, .free_bytes = 60},
      {.server = "disk", .tier = checkpoint_tier::disk, .free_bytes = 60},
      {.server = "evict",
       .tier = checkpoint_tier::disk,
       .free_bytes = 10,
       .evictable_bytes = 50},
      {.server = "remote", .free_bytes = 60},
      {.server = "busy", .tier = checkpoint_tier::memory, .free_bytes = 59}};
  load_placement_request request{
      .model = "m", .bytes = 60, .candidates = ranked};
  std::ranges::reverse(request.candidates);
  for (const load_candidate& best : ranked) {
    EXPECT_EQ(choose_load_server(request), best.server);
    request.candidates.pop_back();
  }
  EXPECT_EQ(choose_load_server(request), std::nullopt);
  request.candidates = {{.server = "down", .usable = false}};
  EXPECT_EQ(choose_load_server(request), std::nullopt);
}

}  // namespace
}  // namespace boragehill::decide
