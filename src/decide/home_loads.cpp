// The part of home that loads models on demand and requests grants.

#include <algorithm>
#include <set>

#include "decide/home.hpp"
#include "decide/keep_warm.hpp"
#include "decide/name_list.hpp"
#include "decide/placement_choice.hpp"
#include "decide/target_name.hpp"

namespace boragehill::decide {

namespace {

/// Returns whether a load of the base model is pending at a server.
bool is_waking(const home_target& target, const std::string& server) {
  return std::any_of(target.pending_loads.begin(), target.pending_loads.end(),
                     [&](const pending_load& wake) {
                       return wake.server == server && wake.adapter.empty();
                     });
}

}  // namespace

void home::schedule_loads(home_target& target, time_point now) {
  if (!is_model_target(target.name) || !target.spec) return;
  this->drop_finished_loads(target, now);
  const std::uint32_t lost = this->unresponsive_servers(target, now);
  const std::uint32_t standing = target.spec->replicas + lost;
  // A target without requests whose row was never read here belongs to another
  // home. Requesting grants for it would have each router read every model's
  // row.
  const bool concerned = target.has_server_list || !target.queue.empty();
  if (concerned && target.servers.size() < standing) {
    this->ask_for_grants(
        target, standing,
        lost == 0 ? "grants ahead of need" : "granted servers not heard of",
        now);
  }
  this->order_deferred_loads(target, now);
  this->load_base_model(target, now);
  this->load_adapters(target, now);
}

void home::drop_finished_loads(home_target& target, time_point now) {
  std::erase_if(target.pending_loads, [&](const pending_load& wake) {
    return this->is_load_finished(target, wake, now);
  });
}

bool home::is_load_finished(const home_target& target, const pending_load& wake,
                            time_point now) {
  const auto found = this->known_servers.find(wake.server);
  if (found == this->known_servers.end()) return true;
  const home_server& server = found->second;
  if (!server.is_usable(now, this->settings.report_timeout)) return true;
  const auto* replica = server.replica(model_of_target(target.name));
  const bool held =
      replica != nullptr && replica->state == wire::replica_state::ready;
  if (held && wake.adapter.empty()) {
    const auto took =
        std::chrono::duration_cast<milliseconds>(now - wake.ordered_at);
    this->mean_load_times[static_cast<std::size_t>(wake.tier)].add(took);
    if (wake.tier == checkpoint_tier::remote) {
      this->actions.emplace_back(
          report_load_end{wake.server, model_of_target(target.name), took});
    }
    return true;
  }
  if (held && contains(replica->adapters, wake.adapter)) return true;
  // A load whose order or result was lost is dropped, so that it is ordered
  // again.
  const bool loading =
      replica != nullptr && replica->state == wire::replica_state::loading;
  if (loading || wake.deferred) return false;
  return now > wake.expected_ready_at + this->settings.load_confirm_timeout;
}

void home::load_base_model(home_target& target, time_point now) {
  const std::uint32_t active = this->active_replicas(target, now);
  const bool needed =
      !target.queue.empty() || active < target.spec->warm_replicas;
  if (!needed) return;
  // One load serves the whole first burst. A further replica pays off only if
  // the queue takes longer than the scale-out wait.
  if (active > 0 && active >= target.spec->warm_replicas) {
    const auto wait = this->queue_time(target, target.queue.size(), now);
    if (wait <= this->settings.scale_out_wait) return;
    const bool loading =
        std::any_of(target.pending_loads.begin(), target.pending_loads.end(),
                    [](const auto& wake) { return wake.adapter.empty(); });
    if (loading) return;
  }
  const std::string server = this->choose_server_to_load(target, now);
  if (!server.empty()) {
    this->start_load(target, server, {}, now);
    return;
  }
  if (!target.has_server_list) return;
  const bool all_used = active >= target.servers.size();
  const std::uint32_t most =
      target.spec->max_replicas + this->unresponsive_servers(target, now);
  if (all_used && target.servers.size() < most) {
    this->ask_for_grants(target,
                         static_cast<std::uint32_t>(target.servers.size() + 1),
                         "the queue outlasts its replicas", now);
  }
}

void home::load_adapters(home_target& target, time_point now) {
  const std::string model = model_of_target(target.name);
  std::set<std::string> wanted;
  for (const auto& waiting : target.queue) {
    if (!waiting.request.adapter.empty())
      wanted.insert(waiting.request.adapter);
  }
  for (const auto& adapter : wanted) {
    const bool ordered =
        std::any_of(target.pending_loads.begin(), target.pending_loads.end(),
                    [&](const auto& wake) { return wake.adapter == adapter; });
    if (ordered) continue;
    for (const auto& id : target.servers) {
      const auto known = this->known_servers.find(id);
      if (known == this->known_servers.end()) continue;
      const home_server& server = known->second;
      if (!server.is_usable(now, this->settings.report_timeout)) continue;
      const auto* replica = server.replica(model);
      if (replica == nullptr) continue;
      if (replica->state != wire::replica_state::ready) continue;
      if (contains(replica->adapters, adapter)) break;
      this->start_load(target, id, adapter, now);
      break;
    }
  }
}

void home::start_load(home_target& target, const std::string& server_id,
                      const std::string& adapter, time_point now) {
  const home_server& server = this->known_servers[server_id];
  const std::string model = model_of_target(target.name);
  const checkpoint_tier tier =
      adapter.empty() ? server.tier(model) : checkpoint_tier::memory;
  const milliseconds load = this->load_time(tier);
  target.pending_loads.push_back({.server = server_id,
                                  .adapter = adapter,
                                  .ordered_at = now,
                                  .expected_ready_at = now + load,
                                  .tier = tier});
  this->add_note(target, {},
                 "wake " + (adapter.empty() ? model : model + ":" + adapter) +
                     " at " + server_id + " for " +
                     std::to_string(target.queue.size()) + " waiting",
                 now);
  this->actions.emplace_back(
      this->make_load_order(target, target.pending_loads.back(), now));
}

order_load home::make_load_order(const home_target& target,
                                 const pending_load& wake,
                                 time_point now) const {
  const break_even_rule rule{target.spec->cold_start_weight,
                             target.spec->idle_weight};
  // The cost of evicting the model is that of a reload, not of this load: the
  // checkpoint stays cached in the server's memory after the model is unloaded.
  const milliseconds reload = this->load_time(checkpoint_tier::memory);
  milliseconds keep = keep_warm_time(rule, reload, {});
  if (this->active_replicas(target, now) <= target.spec->warm_replicas) {
    keep = milliseconds(-1);
  }
  milliseconds left{0};
  if (!target.queue.empty()) {
    left = std::chrono::duration_cast<milliseconds>(
        target.queue.begin()->deadline - now);
  }
  return {.server = wake.server,
          .control = this->known_servers.at(wake.server).report().control,
          .order = {.model = model_of_target(target.name),
                    .adapter = wake.adapter,
                    .bytes = target.spec->bytes,
                    .adapter_bytes = target.spec->adapter_bytes,
                    .keep_warm_ms = keep.count()},
          .from_store = wake.tier == checkpoint_tier::remote,
          .time_left = left};
}

void home::order_deferred_loads(home_target& target, time_point now) {
  for (auto& wake : target.pending_loads) {
    if (!wake.deferred || now < wake.retry_at) continue;
    wake.deferred = false;
    wake.ordered_at = now;
    this->actions.emplace_back(this->make_load_order(target, wake, now));
  }
}

void home::ask_for_grants(home_target& target, std::uint32_t number,
                          const std::string& reason, time_point now) {
  const bool asked_lately =
      target.requested_grants >= number &&
      now - target.grants_requested_at < this->settings.load_confirm_timeout;
  if (asked_lately) return;
  target.requested_grants = number;
  target.grants_requested_at = now;
  request_grants wanted{.model = model_of_target(target.name),
                        .count = number,
                        .uncounted_servers = {},
                        .reason = reason,
                        .is_proactive = target.queue.empty()};
  for (const auto& id : target.servers) {
    const auto known = this->known_servers.find(id);
    const bool heard =
        known != this->known_servers.end() &&
        known->second.has_recent_report(now, this->settings.report_timeout);
    if (!heard) wanted.uncounted_servers.push_back(id);
  }
  this->add_note(target, {},
                 "wants " + std::to_string(number) + " grants: " + reason, now);
  this->actions.emplace_back(std::move(wanted));
}

std::uint32_t home::unresponsive_servers(const home_target& target,
                                         time_point now) const {
  const milliseconds limit = this->settings.report_timeout * 2;
  const auto silent = [&](const std::string& id) {
    const auto known = this->known_servers.find(id);
    if (known != this->known_servers.end() &&
        known->second.has_recent_report(now, limit)) {
      return false;
    }
    // A server that was granted just now, or that a new home has just read from
    // the table, gets the time to report here first.
    const auto since = target.server_added_at.find(id);
    return since != target.server_added_at.end() && now - since->second > limit;
  };
  return static_cast<std::uint32_t>(
      std::count_if(target.servers.begin(), target.servers.end(), silent));
}

std::uint32_t home::active_replicas(const home_target& target,
                                    time_point now) const {
  const std::string model = model_of_target(target.name);
  const auto active = [&](const std::string& id) {
    if (is_waking(target, id)) return true;
    const home_server* server = this->find_usable_server(id, now);
    if (server == nullptr) return false;
    const auto* replica = server->replica(model);
    if (replica == nullptr) return false;
    return replica->state == wire::replica_state::ready ||
           replica->state == wire::replica_state::loading;
  };
  return static_cast<std::uint32_t>(
      std::count_if(target.servers.begin(), target.servers.end(), active));
}

std::string home::choose_server_to_load(const home_target& target,
                                        time_point now) const {
  const std::string model = model_of_target(target.name);
  load_placement_request request{
      .model = model, .bytes = target.spec->bytes, .candidates = {}};
  for (const auto& id : target.servers) {
    const auto known = this->known_servers.find(id);
    if (known == this->known_servers.end()) continue;
    const home_server& server = known->second;
    const auto* replica = server.replica(model);
    const auto state =
        replica == nullptr ? wire::replica_state::cold : replica->state;
    if (state == wire::replica_state::ready) continue;
    if (state == wire::replica_state::loading) continue;
    if (is_waking(target, id)) continue;
    request.candidates.push_back(
        {.server = id,
         .state = state,
         .tier = server.tier(model),
         .free_bytes = server.report().free_bytes,
         .evictable_bytes = server.report().evictable_bytes,
         .running = server.report().running,
         .usable = server.is_usable(now, this->settings.report_timeout)});
  }
  return choose_load_server(request).value_or(std::string{});
}

}  // namespace boragehill::decide
