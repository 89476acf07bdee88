#include "decide/membership.hpp"

#include <utility>

namespace boragehill::decide {

namespace {

/// A removed VM is forgotten after this many times `removal_delay`.
constexpr int retention_factor = 20;

}  // namespace

membership::membership(membership_settings settings) : settings(settings) {}

void membership::on_vm_list(const std::vector<vm_info>& vms, time_point now) {
  // A list service that lost its state returns an empty list. If it were
  // applied, every server would count as removed and all grants would be freed
  // while the servers still hold their replicas.
  if (vms.empty()) return;
  for (auto& [id, known] : this->members) known.listed = false;
  for (const vm_info& vm : vms) {
    member& known = this->members[vm.id];
    known.vm = vm;
    known.listed = true;
    known.unlisted_since.reset();
    if (vm.state == vm_state::leaving) this->draining.insert(vm.id);
  }
  for (auto& [id, known] : this->members) {
    if (!known.listed && !known.unlisted_since) known.unlisted_since = now;
  }
  this->last_list_at = now;
  this->drop_expired(now);
}

void membership::on_heartbeat(const vm_info& vm, time_point now) {
  member& known = this->members[vm.id];
  if (!known.listed) known.vm = vm;
  known.heartbeat_at = now;
  if (vm.state == vm_state::leaving) this->draining.insert(vm.id);
}

void membership::on_call_failed(const std::string& id, time_point now) {
  this->suspected_until[id] = now + this->settings.suspect_for;
}

void membership::on_call_succeeded(const std::string& id) {
  this->suspected_until.erase(id);
}

void membership::on_draining(const std::string& id) {
  this->draining.insert(id);
}

std::vector<vm_info> membership::live_routers(std::string_view region,
                                              time_point now) const {
  std::vector<vm_info> routers;
  for (const auto& [id, known] : this->members) {
    if (known.vm.role != vm_role::router) continue;
    if (!region.empty() && known.vm.region != region) continue;
    if (this->accepts_work(known, now)) routers.push_back(known.vm);
  }
  return routers;
}

std::vector<vm_info> membership::usable_servers(time_point now) const {
  std::vector<vm_info> servers;
  for (const auto& [id, known] : this->members) {
    if (known.vm.role == vm_role::router) continue;
    if (this->accepts_work(known, now)) servers.push_back(known.vm);
  }
  return servers;
}

bool membership::is_removed(const std::string& id, time_point now) {
  // A VM that was never listed may be newer than the list, which lags. Creating
  // its entry starts the removal delay.
  const member& known = this->members[id];
  if (known.listed || !known.unlisted_since) return false;
  const milliseconds delay = this->settings.removal_delay;
  if (known.heartbeat_at && now - *known.heartbeat_at < delay) return false;
  // Measured up to the last successful read: a failed read does not show that
  // the VM is still missing.
  return *this->last_list_at - *known.unlisted_since >= delay;
}

bool membership::is_suspected(const std::string& id, time_point now) const {
  const auto found = this->suspected_until.find(id);
  return found != this->suspected_until.end() && now < found->second;
}

bool membership::is_draining(const std::string& id) const {
  return this->draining.contains(id);
}

std::optional<vm_info> membership::find(const std::string& id) const {
  const auto found = this->members.find(id);
  if (found == this->members.end()) return std::nullopt;
  const vm_info& vm = found->second.vm;
  if (vm.id.empty()) return std::nullopt;
  return vm;
}

bool membership::accepts_work(const member& known, time_point now) const {
  if (this->is_draining(known.vm.id)) return false;
  if (this->is_suspected(known.vm.id, now)) return false;
  if (known.listed) return true;
  // A listed process without heartbeats may be live, since agents report to few
  // routers. An unlisted one is live only while its heartbeats arrive.
  return known.heartbeat_at &&
         now - *known.heartbeat_at <= this->settings.heartbeat_timeout;
}

void membership::drop_expired(time_point now) {
  std::erase_if(this->suspected_until,
                [&](const auto& item) { return now >= item.second; });
  // Draining marks are kept: a stale list must not make a VM that is shutting
  // down usable again.
  const milliseconds keep = retention_factor * this->settings.removal_delay;
  std::erase_if(this->members, [&](const auto& item) {
    const member& known = item.second;
    if (known.listed || !known.unlisted_since) return false;
    if (known.heartbeat_at && now - *known.heartbeat_at < keep) return false;
    return now - *known.unlisted_since >= keep;
  });
}

}  // namespace boragehill::decide
