#include "decide/membership.hpp"

#include <utility>

namespace boragehill::decide {

namespace {

/// How many times `gone_after` a VM that is gone is remembered.
constexpr int gone_kept = 20;

}  // namespace

membership::membership(membership_settings settings) : settings(settings) {}

void membership::on_list(const std::vector<vm_info>& vms, time_point now) {
  // A list service that lost its state answers with an empty list. Believing
  // it would make every server look gone and free all grants at once, while
  // the servers still hold their replicas.
  if (vms.empty()) return;
  for (auto& [id, known] : this->members) known.listed = false;
  for (const vm_info& vm : vms) {
    member& known = this->members[vm.id];
    known.vm = vm;
    known.listed = true;
    known.missing_since.reset();
    if (vm.state == vm_state::leaving) this->leaving.insert(vm.id);
  }
  for (auto& [id, known] : this->members) {
    if (!known.listed && !known.missing_since) known.missing_since = now;
  }
  this->last_list = now;
  this->forget_old(now);
}

void membership::on_heartbeat(const vm_info& vm, time_point now) {
  member& known = this->members[vm.id];
  if (!known.listed) known.vm = vm;
  known.heard_at = now;
  if (vm.state == vm_state::leaving) this->leaving.insert(vm.id);
}

void membership::on_call_failed(const std::string& id, time_point now) {
  this->suspected_until[id] = now + this->settings.suspect_for;
}

void membership::on_call_answered(const std::string& id) {
  this->suspected_until.erase(id);
}

void membership::on_leaving(const std::string& id) {
  this->leaving.insert(id);
}

std::vector<vm_info> membership::live_routers(std::string_view region,
                                              time_point now) const {
  std::vector<vm_info> routers;
  for (const auto& [id, known] : this->members) {
    if (known.vm.role != vm_role::router) continue;
    if (!region.empty() && known.vm.region != region) continue;
    if (this->takes_work(known, now)) routers.push_back(known.vm);
  }
  return routers;
}

std::vector<vm_info> membership::usable_servers(time_point now) const {
  std::vector<vm_info> servers;
  for (const auto& [id, known] : this->members) {
    if (known.vm.role == vm_role::router) continue;
    if (this->takes_work(known, now)) servers.push_back(known.vm);
  }
  return servers;
}

bool membership::is_gone(const std::string& id, time_point now) {
  // A VM that this process never saw listed may be newer than the list, which
  // lags: it is watched from now on like any other.
  const member& known = this->members[id];
  if (known.listed || !known.missing_since) return false;
  const milliseconds needed = this->settings.gone_after;
  if (known.heard_at && now - *known.heard_at < needed) return false;
  // The time runs to the last successful read, since failed ones prove nothing.
  return *this->last_list - *known.missing_since >= needed;
}

bool membership::is_suspected(const std::string& id, time_point now) const {
  const auto found = this->suspected_until.find(id);
  return found != this->suspected_until.end() && now < found->second;
}

bool membership::is_leaving(const std::string& id) const {
  return this->leaving.contains(id);
}

std::optional<vm_info> membership::find(const std::string& id) const {
  const auto found = this->members.find(id);
  if (found == this->members.end()) return std::nullopt;
  const vm_info& vm = found->second.vm;
  if (vm.id.empty()) return std::nullopt;
  return vm;
}

bool membership::takes_work(const member& known, time_point now) const {
  if (this->is_leaving(known.vm.id)) return false;
  if (this->is_suspected(known.vm.id, now)) return false;
  if (known.listed) return true;
  // Silence alone is no sign of death, as agents report to few routers; but a
  // process that is not listed counts only for as long as it speaks.
  return known.heard_at &&
         now - *known.heard_at <= this->settings.heartbeat_keep;
}

void membership::forget_old(time_point now) {
  std::erase_if(this->suspected_until,
                [&](const auto& item) { return now >= item.second; });
  // Leaving marks are kept: a stale answer of the list must not give work back
  // to a VM that said it stops.
  const milliseconds keep = gone_kept * this->settings.gone_after;
  std::erase_if(this->members, [&](const auto& item) {
    const member& known = item.second;
    if (known.listed || !known.missing_since) return false;
    if (known.heard_at && now - *known.heard_at < keep) return false;
    return now - *known.missing_since >= keep;
  });
}

}  // namespace boragehill::decide
