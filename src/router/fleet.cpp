#include "router/fleet.hpp"

#include <algorithm>
#include <utility>

#include "decide/rendezvous.hpp"

namespace boragehill::router {

fleet::fleet(vm_info self, decide::membership_settings settings)
    : own(std::move(self)), members(settings) {}

void fleet::on_list(const std::vector<vm_info>& vms, time_point now) {
  const std::lock_guard lock(this->mutex);
  this->members.on_vm_list(vms, now);
  if (!vms.empty()) this->last_list = vms;
}

void fleet::on_heartbeat(const vm_info& vm, time_point now) {
  const std::lock_guard lock(this->mutex);
  this->members.on_heartbeat(vm, now);
}

void fleet::on_call_failed(const std::string& id, time_point now) {
  const std::lock_guard lock(this->mutex);
  this->members.on_call_failed(id, now);
}

void fleet::on_call_answered(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  this->members.on_call_succeeded(id);
}

void fleet::on_leaving(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  this->members.on_draining(id);
}

std::vector<vm_info> fleet::homes(const std::string& target, std::size_t count,
                                  time_point now) const {
  const std::lock_guard lock(this->mutex);
  auto routers = this->members.live_routers(this->own.region, now);
  const auto is_self = [&](const vm_info& vm) { return vm.id == this->own.id; };
  std::erase_if(routers, is_self);
  if (!this->members.is_draining(this->own.id)) routers.push_back(this->own);
  std::vector<std::string> ids;
  ids.reserve(routers.size());
  for (const auto& vm : routers) ids.push_back(vm.id);
  std::vector<vm_info> ordered;
  for (const auto& id : decide::rank_homes(target, std::move(ids), count)) {
    ordered.push_back(
        *std::find_if(routers.begin(), routers.end(),
                      [&](const vm_info& vm) { return vm.id == id; }));
  }
  return ordered;
}

std::vector<vm_info> fleet::peers(time_point now) const {
  const std::lock_guard lock(this->mutex);
  auto routers = this->members.live_routers({}, now);
  std::erase_if(routers,
                [&](const vm_info& vm) { return vm.id == this->own.id; });
  return routers;
}

std::vector<std::string> fleet::listed_peers() const {
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> ids;
  for (const auto& vm : this->last_list) {
    const bool other = vm.role == vm_role::router && vm.id != this->own.id;
    if (other && vm.state == vm_state::live) ids.push_back(vm.id);
  }
  return ids;
}

std::vector<vm_info> fleet::servers(time_point now) const {
  const std::lock_guard lock(this->mutex);
  return this->members.usable_servers(now);
}

std::vector<vm_info> fleet::listed() const {
  const std::lock_guard lock(this->mutex);
  return this->last_list;
}

std::optional<vm_info> fleet::find(const std::string& id) const {
  const std::lock_guard lock(this->mutex);
  return this->members.find(id);
}

bool fleet::is_gone(const std::string& id, time_point now) {
  const std::lock_guard lock(this->mutex);
  return this->members.is_removed(id, now);
}

bool fleet::is_suspected(const std::string& id, time_point now) const {
  const std::lock_guard lock(this->mutex);
  return this->members.is_suspected(id, now);
}

bool fleet::is_leaving(const std::string& id) const {
  const std::lock_guard lock(this->mutex);
  return this->members.is_draining(id);
}

}  // namespace boragehill::router
