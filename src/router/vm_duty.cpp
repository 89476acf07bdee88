#include "router/vm_duty.hpp"

#include <utility>

#include <boragehill/vm_list.hpp>

#include "decide/target_name.hpp"
#include "kernel/event_log.hpp"
#include "router/fleet.hpp"
#include "router/home_duty.hpp"

namespace boragehill::router {

vm_duty::vm_duty(vm_list& platform_list, fleet& all, home_duty& own_home,
                 milliseconds interval)
    : list(platform_list),
      members(all),
      home(own_home),
      worker(
          "vms", 1, interval, [this](std::monostate&) { this->poll(); },
          [this] { this->poll(); }) {
  // Grants can't be placed before the list was read once.
  this->worker.post(std::monostate{});
}

void vm_duty::poll() {
  const auto read = this->list.list();
  const bool failed = !read.has_value();
  if (failed != this->outage) {
    this->outage = failed;
    kernel::log_event(failed ? kernel::event::platform_outage_began
                             : kernel::event::platform_outage_ended,
                      {{"service", "vm_list"}});
  }
  if (failed) return;
  this->members.on_list(read.value(), time_point::clock::now());
  this->note_new(read.value());
  this->note_leaving(read.value());
  this->show_pools(read.value());
}

void vm_duty::note_new(const std::vector<vm_info>& vms) {
  std::set<std::string> ids;
  for (const auto& vm : vms) {
    ids.insert(vm.id);
    if (this->listed.contains(vm.id)) continue;
    kernel::log_event(kernel::event::vm_listed, {{"vm", vm.id}});
  }
  this->listed = std::move(ids);
}

void vm_duty::note_leaving(const std::vector<vm_info>& vms) {
  for (const auto& vm : vms) {
    if (vm.state != vm_state::leaving) continue;
    if (!this->leaving.insert(vm.id).second) continue;
    kernel::log_event(kernel::event::vm_leaving, {{"vm", vm.id}});
    if (vm.role == vm_role::router) continue;
    this->home.post(server_trouble_message{vm.id, true});
  }
}

void vm_duty::show_pools(const std::vector<vm_info>& vms) {
  std::map<std::string, std::vector<std::string>> now;
  for (const auto& vm : vms) {
    if (vm.role == vm_role::service_server) now[vm.pool].push_back(vm.id);
  }
  if (now == this->pools) return;
  this->pools = now;
  for (const auto& [pool, servers] : now) {
    this->home.post(servers_message{decide::pool_target(pool), servers});
  }
}

}  // namespace boragehill::router
