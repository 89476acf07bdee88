#include <algorithm>

#include "decide/keep_warm.hpp"
#include "decide/residency.hpp"
#include "decide/residency_name.hpp"

namespace boragehill::decide {

using wire::replica_state;

bool residency::old_orders_expired(time_point now) const {
  // An order of an earlier process of this agent may still be in transit and
  // would load a model without a reservation. An engine that checks fencing
  // numbers rejects it once it has seen this process's number; with others,
  // wait for the maximum delivery time.
  if (this->settings.engine_checks_fence) return this->engine_fenced;
  return now - this->started_at >= this->settings.max_order_delivery;
}

bool residency::may_order(time_point now) const {
  if (this->superseded || !this->engine_responding || !this->state_known) {
    return false;
  }
  if (this->fence == 0 || !this->grants_known) return false;
  return this->settings.engine_checks_fence || this->old_orders_expired(now);
}

std::optional<residency::next_order> residency::choose_order(
    time_point now) const {
  if (!this->old_orders_expired(now)) {
    return next_order{order_kind::unload, fence_probe_name,
                      order_reason::fence_engine};
  }
  const bool may_unload = now >= this->unload_not_before;
  if (may_unload) {
    if (auto forced = this->choose_forced_unload()) return forced;
  }
  if (auto load = this->choose_load(now)) return load;
  if (!may_unload) return std::nullopt;
  return this->choose_idle_unload(now);
}

std::optional<residency::next_order> residency::choose_forced_unload() const {
  for (const auto& [name, held] : this->holdings) {
    if (is_adapter(name) || !held.is_idle()) continue;
    const bool has_grant = this->is_granted(name);
    if (has_grant && !held.retiring) continue;
    const std::string to_unload = this->first_to_unload(name);
    if (to_unload.empty()) continue;
    return next_order{
        order_kind::unload, to_unload,
        has_grant ? order_reason::retired : order_reason::not_granted};
  }
  return std::nullopt;
}

std::optional<residency::next_order> residency::choose_load(
    time_point now) const {
  if (this->draining) return std::nullopt;
  for (const auto& name : this->wanted_loads(now)) {
    if (auto next = this->next_order_towards_load(name, now)) return next;
  }
  return std::nullopt;
}

std::optional<residency::next_order> residency::next_order_towards_load(
    const std::string& name, time_point now) const {
  const std::string base = base_of(name);
  if (!this->is_granted(base)) return std::nullopt;
  const residency_holding* held = this->find(base);
  if (held == nullptr || held->retiring) return std::nullopt;
  if (is_adapter(name) && held->state != replica_state::ready) {
    return std::nullopt;
  }
  const std::uint64_t bytes = this->find(name)->bytes;
  const std::uint64_t free = this->memory.free();
  if (bytes <= free) {
    return next_order{order_kind::load, name, order_reason::on_demand};
  }
  if (now < this->unload_not_before) return std::nullopt;
  const auto candidate =
      choose_eviction(this->eviction_candidates(base, now), bytes - free, now);
  if (!candidate) return std::nullopt;
  const std::string to_unload = this->first_to_unload(*candidate);
  if (to_unload.empty()) return std::nullopt;
  return next_order{order_kind::unload, to_unload, order_reason::evicted};
}

std::optional<residency::next_order> residency::choose_idle_unload(
    time_point now) const {
  for (const auto& [name, held] : this->holdings) {
    if (!held.is_idle() || held.is_wanted(now)) continue;
    if (now < held.protected_until) continue;
    if (!is_past_keep_warm(held.keep_warm, held.last_used, now)) continue;
    if (!is_adapter(name) && !this->may_evict_base(name, now)) continue;
    const std::string to_unload = this->first_to_unload(name);
    if (to_unload.empty()) continue;
    return next_order{order_kind::unload, to_unload,
                      order_reason::keep_warm_expired};
  }
  return std::nullopt;
}

std::vector<std::string> residency::wanted_loads(time_point now) const {
  std::vector<std::string> names;
  for (const auto& [name, held] : this->holdings) {
    if (held.state != replica_state::cold ||
        this->memory.has_reservation(name)) {
      continue;
    }
    if (held.is_wanted(now)) names.push_back(name);
  }
  std::stable_sort(names.begin(), names.end(),
                   [this](const std::string& left, const std::string& right) {
                     return *this->find(left)->wanted_since <
                            *this->find(right)->wanted_since;
                   });
  return names;
}

std::vector<eviction_candidate> residency::eviction_candidates(
    const std::string& target, time_point now) const {
  std::vector<eviction_candidate> candidates;
  const auto add = [&](const std::string& name, std::uint64_t bytes) {
    const residency_holding& held = *this->find(name);
    candidates.push_back(
        {.name = name,
         .bytes = bytes,
         .last_used = held.last_used,
         .keep_warm = held.keep_warm,
         .reload = this->load_time.expected(this->tier_of(name), bytes)});
  };
  for (const auto& [name, held] : this->holdings) {
    if (!held.is_idle() || now < held.protected_until) continue;
    const std::string base = base_of(name);
    const bool may_evict_whole =
        base != target && this->may_evict_base(base, now);
    if (!is_adapter(name) && may_evict_whole) {
      add(name, this->bytes_with_adapters(name));
    }
    // An idle adapter can be evicted without its base.
    if (is_adapter(name) && !may_evict_whole) add(name, held.bytes);
  }
  return candidates;
}

bool residency::may_evict_base(const std::string& base, time_point now) const {
  const residency_holding* held = this->find(base);
  if (held == nullptr || !held->is_idle() || now < held->protected_until) {
    return false;
  }
  const auto first = this->holdings.lower_bound(base + ":");
  for (auto it = first; it != this->holdings.end(); ++it) {
    if (base_of(it->first) != base) break;
    const residency_holding& adapter = it->second;
    if (adapter.is_wanted(now) || adapter.running_attempts > 0) return false;
    if (now < adapter.protected_until) return false;
    if (this->memory.has_reservation(it->first) && !adapter.is_idle()) {
      return false;
    }
  }
  return true;
}

std::string residency::first_to_unload(const std::string& name) const {
  // Adapters first: the engine cannot account for an adapter without its base.
  for (const auto& adapter : this->adapters_of(name)) {
    return this->find(adapter)->is_idle() ? adapter : std::string{};
  }
  return name;
}

std::vector<std::string> residency::adapters_of(const std::string& base) const {
  std::vector<std::string> names;
  const auto first = this->holdings.lower_bound(base + ":");
  for (auto it = first; it != this->holdings.end(); ++it) {
    if (base_of(it->first) != base) break;
    if (this->memory.has_reservation(it->first)) names.push_back(it->first);
  }
  return names;
}

std::uint64_t residency::bytes_with_adapters(const std::string& base) const {
  std::uint64_t bytes = this->memory.bytes_of(base);
  for (const auto& adapter : this->adapters_of(base)) {
    bytes += this->memory.bytes_of(adapter);
  }
  return bytes;
}

void residency::issue_order(const next_order& next, time_point now) {
  const engine_order order{.kind = next.kind,
                           .model = next.name,
                           .bytes = this->memory.bytes_of(next.name),
                           .fence = this->fence,
                           .sequence = ++this->sequence};
  engine_order sent = order;
  if (next.reason != order_reason::fence_engine) {
    residency_holding& held = this->holdings[next.name];
    if (next.kind == order_kind::load) {
      if (!this->memory.reserve(next.name, held.bytes)) return;
      sent.bytes = held.bytes;
      held.state = replica_state::loading;
    } else {
      held.state = replica_state::unloading;
    }
    this->actions.emplace_back(notify_model_changed{base_of(next.name)});
  }
  this->call = engine_call::ordering;
  this->outstanding = outstanding_order{.order = sent, .sent_at = now};
  this->actions.emplace_back(send_order{sent, next.reason});
}

}  // namespace boragehill::decide
