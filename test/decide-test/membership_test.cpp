#include "decide/membership.hpp"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace boragehill::decide {
namespace {

using names = std::vector<std::string>;

const time_point start{milliseconds{100000}};

time_point at(int ms) {
  return start + milliseconds{ms};
}

vm_info router(const std::string& id, const std::string& region = "texas") {
  return {.id = id, .role = vm_role::router, .region = region};
}

vm_info server(const std::string& id) {
  return {.id = id, .role = vm_role::model_server, .region = "texas"};
}

names ids_of(const std::vector<vm_info>& vms) {
  names ids;
  ids.reserve(vms.size());
  for (const vm_info& vm : vms) ids.push_back(vm.id);
  return ids;
}

TEST(membership_test, lists_routers_by_region_and_servers) {
  membership view({});
  view.on_vm_list(
      {router("r2"), router("r1"), router("r3", "north"), server("s")}, start);
  EXPECT_EQ(ids_of(view.live_routers("texas", start)), (names{"r1", "r2"}));
  EXPECT_EQ(ids_of(view.live_routers("", start)), (names{"r1", "r2", "r3"}));
  EXPECT_EQ(ids_of(view.usable_servers(start)), names{"s"});
  EXPECT_EQ(view.find("r3"), router("r3", "north"));
}

TEST(membership_test, keeps_the_old_list_when_an_empty_one_arrives) {
  // Guards against freeing and reassigning all grants, while the servers still
  // hold their models, when a restarted list service returns an empty list.
  membership view({});
  view.on_vm_list({server("s")}, start);
  for (int ms = 0; ms < 100000; ms += 1000) view.on_vm_list({}, at(ms));
  EXPECT_EQ(ids_of(view.usable_servers(at(100000))), names{"s"});
  EXPECT_FALSE(view.is_removed("s", at(100000)));
}

TEST(membership_test, suspects_after_a_failed_call_until_it_expires) {
  membership view({});
  view.on_vm_list({server("s")}, start);
  view.on_call_failed("s", start);
  view.on_heartbeat(server("s"), at(1));
  EXPECT_TRUE(view.usable_servers(at(4999)).empty());
  EXPECT_FALSE(view.usable_servers(at(5000)).empty());
  view.on_call_failed("s", at(6000));
  view.on_call_succeeded("s");
  EXPECT_FALSE(view.is_suspected("s", at(6000)));
}

TEST(membership_test, never_clears_a_draining_mark) {
  // Guards against new requests for a VM that is being reclaimed: it reported
  // that it is draining, but the lagging list shows it as live for some
  // seconds.
  membership view({});
  view.on_draining("s");
  view.on_vm_list({server("s")}, start);
  view.on_heartbeat(server("s"), start);
  EXPECT_TRUE(view.usable_servers(start).empty());
  vm_info draining = server("t");
  draining.state = vm_state::leaving;
  view.on_vm_list({draining}, at(1));
  view.on_vm_list({server("t")}, at(2));
  EXPECT_TRUE(view.is_draining("t"));
  EXPECT_TRUE(view.usable_servers(at(2)).empty());
}

TEST(membership_test, counts_an_unlisted_process_while_it_sends_heartbeats) {
  membership view({});
  view.on_vm_list({router("r1")}, start);
  view.on_heartbeat(router("r2"), at(100));
  EXPECT_EQ(ids_of(view.live_routers("texas", at(5100))), (names{"r1", "r2"}));
  EXPECT_EQ(ids_of(view.live_routers("texas", at(5101))), names{"r1"});
}

TEST(membership_test, removes_a_vm_only_after_successful_reads_over_the_delay) {
  membership view({});
  view.on_vm_list({server("s"), server("t")}, start);
  view.on_vm_list({server("t")}, at(1000));
  EXPECT_FALSE(view.is_removed("s", at(99000)));
  view.on_vm_list({server("t")}, at(30999));
  EXPECT_FALSE(view.is_removed("s", at(99000)));
  view.on_vm_list({server("t")}, at(31000));
  EXPECT_TRUE(view.is_removed("s", at(31000)));
  EXPECT_FALSE(view.is_removed("t", at(31000)));
  view.on_heartbeat(server("s"), at(31000));
  EXPECT_FALSE(view.is_removed("s", at(31001)));
}

TEST(membership_test, removes_a_server_that_is_known_only_from_a_row) {
  // A home that started after a server was lost finds the server's grant in the
  // model's row. It must free that grant eventually, but not the grant of a
  // server that is too new to be listed.
  membership view({});
  view.on_vm_list({server("t")}, start);
  view.on_vm_list({server("t")}, at(90000));
  EXPECT_FALSE(view.is_removed("s", at(90000)));
  view.on_vm_list({server("t")}, at(91000));
  view.on_vm_list({server("t")}, at(121000));
  EXPECT_TRUE(view.is_removed("s", at(121000)));
  EXPECT_EQ(view.find("s"), std::nullopt);
  EXPECT_EQ(ids_of(view.live_routers("", at(121000))), names{});
}

}  // namespace
}  // namespace boragehill::decide
