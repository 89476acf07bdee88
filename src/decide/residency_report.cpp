#include <algorithm>

#include <boragehill/model_ref.hpp>

#include "decide/residency.hpp"
#include "decide/residency_name.hpp"

namespace boragehill::decide {

using wire::replica_state;

std::vector<wire::replica_report> residency::replicas(time_point now) const {
  std::set<std::string> names;
  for (const auto& [name, bytes] : this->grants) names.insert(name);
  for (const auto& [name, held] : this->holdings) {
    names.insert(base_of(name));
  }
  std::vector<wire::replica_report> reports;
  reports.reserve(names.size());
  for (const auto& name : names) reports.push_back(this->report_of(name, now));
  return reports;
}

wire::replica_report residency::report_of(const std::string& base,
                                          time_point now) const {
  wire::replica_report report{.name = base};
  if (const residency_holding* held = this->find(base)) {
    report.state = held->state;
    // Reported as unloading so that homes send no more requests to a replica
    // that loses its grant.
    const bool loses_grant = held->retiring || !this->is_granted(base);
    if (loses_grant && held->state == replica_state::ready) {
      report.state = replica_state::unloading;
    }
    report.running = held->running_attempts;
  }
  if (report.state == replica_state::loading) {
    report.ready_in_ms = this->ready_in(base, now).count();
  }
  report.bytes = this->bytes_with_adapters(base);
  for (const auto& name : this->adapters_of(base)) {
    const std::string adapter = model_ref::parse(name).adapter;
    const replica_state state = this->find(name)->state;
    if (state == replica_state::ready) report.adapters.push_back(adapter);
    if (state == replica_state::loading) {
      report.loading_adapters.push_back(adapter);
    }
  }
  return report;
}

std::uint64_t residency::evictable_bytes(time_point now) const {
  std::uint64_t bytes = 0;
  for (const auto& candidate : this->eviction_candidates({}, now)) {
    bytes += candidate.bytes;
  }
  return bytes;
}

std::uint32_t residency::idle_replicas() const {
  std::uint32_t count = 0;
  for (const auto& [name, held] : this->holdings) {
    if (!is_adapter(name) && held.is_idle()) ++count;
  }
  return count;
}

checkpoint_tier residency::tier_of(const std::string& name) const {
  const auto found = this->last_state.cached.find(name);
  if (found == this->last_state.cached.end()) return checkpoint_tier::remote;
  return found->second;
}

bool residency::fits_after_evictions(const std::string& base,
                                     std::uint64_t bytes,
                                     time_point now) const {
  std::uint64_t available = this->memory.free();
  for (const auto& candidate : this->eviction_candidates(base, now)) {
    available += candidate.bytes;
  }
  if (this->outstanding &&
      this->outstanding->order.kind == order_kind::unload) {
    available += this->memory.bytes_of(this->outstanding->order.model);
  }
  std::uint64_t wanted_bytes = 0;
  for (const auto& name : this->wanted_loads(now)) {
    if (base_of(name) == base) continue;
    wanted_bytes += this->find(name)->bytes;
  }
  return bytes + wanted_bytes <= available;
}

milliseconds residency::ready_in(const std::string& name,
                                 time_point now) const {
  const residency_holding* held = this->find(name);
  if (held != nullptr && held->state == replica_state::ready) {
    return milliseconds(0);
  }
  milliseconds wait{0};
  if (this->outstanding && this->outstanding->order.kind == order_kind::load) {
    const engine_order& order = this->outstanding->order;
    const auto expected =
        this->load_time.expected(this->tier_of(order.model), order.bytes);
    const auto elapsed = std::chrono::duration_cast<milliseconds>(
        now - this->outstanding->sent_at);
    wait += std::max(expected - elapsed, milliseconds(0));
    if (order.model == name) return wait;
  }
  for (const auto& wanted : this->wanted_loads(now)) {
    wait += this->load_time.expected(this->tier_of(wanted),
                                     this->find(wanted)->bytes);
    if (wanted == name) break;
  }
  return wait;
}

const residency_holding* residency::find(const std::string& name) const {
  const auto found = this->holdings.find(name);
  return found == this->holdings.end() ? nullptr : &found->second;
}

}  // namespace boragehill::decide
