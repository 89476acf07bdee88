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
bool is_base_load_pending(const home_target& target,
                          const std::string& server) {
  return std::any_of(target.pending_loads.begin(), target.pending_loads.end(),
                     [&](const pending_load& load) {
                       return load.server == server && load.adapter.empty();
                     });
}

}  // namespace

void home::schedule_loads(home_target& target, time_point now) {
  if (!is_model_target(target.name) || !target.spec) return;
  this->drop_finished_loads(target, now);
  const std::uint32_t unresponsive = this->unresponsive_servers(target, now);
  const std::uint32_t wanted = target.spec->replicas + unresponsive;
  // A target without requests whose row was never read here belongs to another
  // home. Requesting grants for it would have each router read every model's
  // row.
  const bool is_own_target = target.has_server_list || !target.queue.empty();
  if (is_own_target && target.servers.size() < wanted) {
    this->request_more_grants(target, wanted,
                              unresponsive == 0
                                  ? "grants ahead of need"
                                  : "granted servers not heard of",
                              now);
  }
  this->order_deferred_loads(target, now);
  this->load_base_model(target, now);
  this->load_adapters(target, now);
}

void home::drop_finished_loads(home_target& target, time_point now) {
  std::erase_if(target.pending_loads, [&](const pending_load& load) {
    return this->is_load_finished(target, load, now);
  });
}

bool home::is_load_finished(const home_target& target, const pending_load& load,
                            time_point now) {
  const auto found = this->known_servers.find(load.server);
  if (found == this->known_servers.end()) return true;
  const home_server& server = found->second;
  if (!server.is_usable(now, this->settings.report_timeout)) return true;
  const auto* replica = server.replica(model_of_target(target.name));
  const bool is_ready =
      replica != nullptr && replica->state == wire::replica_state::ready;
  if (is_ready && load.adapter.empty()) {
    const auto duration =
        std::chrono::duration_cast<milliseconds>(now - load.ordered_at);
    this->mean_load_times[static_cast<std::size_t>(load.tier)].add(duration);
    if (load.tier == checkpoint_tier::remote) {
      this->actions.emplace_back(
          report_load_end{load.server, model_of_target(target.name), duration});
    }
    return true;
  }
  if (is_ready && contains(replica->adapters, load.adapter)) return true;
  // A load whose order or result was lost is dropped, so that it is ordered
  // again.
  const bool is_loading =
      replica != nullptr && replica->state == wire::replica_state::loading;
  if (is_loading || load.deferred) return false;
  return now > load.expected_ready_at + this->settings.load_confirm_timeout;
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
    const bool is_load_pending =
        std::any_of(target.pending_loads.begin(), target.pending_loads.end(),
                    [](const auto& load) { return load.adapter.empty(); });
    if (is_load_pending) return;
  }
  const std::string server = this->choose_server_to_load(target, now);
  if (!server.empty()) {
    this->start_load(target, server, {}, now);
    return;
  }
  if (!target.has_server_list) return;
  const bool all_used = active >= target.servers.size();
  const std::uint32_t max_grants =
      target.spec->max_replicas + this->unresponsive_servers(target, now);
  if (all_used && target.servers.size() < max_grants) {
    this->request_more_grants(
        target, static_cast<std::uint32_t>(target.servers.size() + 1),
        "the queue outlasts its replicas", now);
  }
}

void home::load_adapters(home_target& target, time_point now) {
  const std::string model = model_of_target(target.name);
  std::set<std::string> wanted;
  for (const auto& queued : target.queue) {
    if (!queued.request.adapter.empty()) wanted.insert(queued.request.adapter);
  }
  for (const auto& adapter : wanted) {
    const bool is_load_pending =
        std::any_of(target.pending_loads.begin(), target.pending_loads.end(),
                    [&](const auto& load) { return load.adapter == adapter; });
    if (is_load_pending) continue;
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
  const milliseconds expected_duration = this->load_time(tier);
  target.pending_loads.push_back({.server = server_id,
                                  .adapter = adapter,
                                  .ordered_at = now,
                                  .expected_ready_at = now + expected_duration,
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
                                 const pending_load& load,
                                 time_point now) const {
  const break_even_rule rule{target.spec->cold_start_weight,
                             target.spec->idle_weight};
  // The cost of evicting the model is that of a reload, not of this load: the
  // checkpoint stays cached in the server's memory after the model is unloaded.
  const milliseconds reload = this->load_time(checkpoint_tier::memory);
  milliseconds keep_warm = keep_warm_time(rule, reload, {});
  if (this->active_replicas(target, now) <= target.spec->warm_replicas) {
    keep_warm = milliseconds(-1);
  }
  milliseconds time_left{0};
  if (!target.queue.empty()) {
    time_left = std::chrono::duration_cast<milliseconds>(
        target.queue.begin()->deadline - now);
  }
  return {.server = load.server,
          .control = this->known_servers.at(load.server).report().control,
          .order = {.model = model_of_target(target.name),
                    .adapter = load.adapter,
                    .bytes = target.spec->bytes,
                    .adapter_bytes = target.spec->adapter_bytes,
                    .keep_warm_ms = keep_warm.count()},
          .from_store = load.tier == checkpoint_tier::remote,
          .time_left = time_left};
}

void home::order_deferred_loads(home_target& target, time_point now) {
  for (auto& load : target.pending_loads) {
    if (!load.deferred || now < load.retry_at) continue;
    load.deferred = false;
    load.ordered_at = now;
    this->actions.emplace_back(this->make_load_order(target, load, now));
  }
}

void home::request_more_grants(home_target& target, std::uint32_t count,
                               const std::string& reason, time_point now) {
  const bool requested_recently =
      target.wanted_grants >= count &&
      now - target.grants_requested_at < this->settings.load_confirm_timeout;
  if (requested_recently) return;
  target.wanted_grants = count;
  target.grants_requested_at = now;
  request_grants action{.model = model_of_target(target.name),
                        .count = count,
                        .uncounted_servers = {},
                        .reason = reason,
                        .is_proactive = target.queue.empty()};
  for (const auto& id : target.servers) {
    const auto known = this->known_servers.find(id);
    const bool has_report =
        known != this->known_servers.end() &&
        known->second.has_recent_report(now, this->settings.report_timeout);
    if (!has_report) action.uncounted_servers.push_back(id);
  }
  this->add_note(target, {},
                 "wants " + std::to_string(count) + " grants: " + reason, now);
  this->actions.emplace_back(std::move(action));
}

std::uint32_t home::unresponsive_servers(const home_target& target,
                                         time_point now) const {
  const milliseconds timeout = this->settings.report_timeout * 2;
  const auto is_unresponsive = [&](const std::string& id) {
    const auto known = this->known_servers.find(id);
    if (known != this->known_servers.end() &&
        known->second.has_recent_report(now, timeout)) {
      return false;
    }
    // A server that was granted just now, or that a new home has just read from
    // the table, gets the time to report here first.
    const auto added_at = target.server_added_at.find(id);
    return added_at != target.server_added_at.end() &&
           now - added_at->second > timeout;
  };
  return static_cast<std::uint32_t>(std::count_if(
      target.servers.begin(), target.servers.end(), is_unresponsive));
}

std::uint32_t home::active_replicas(const home_target& target,
                                    time_point now) const {
  const std::string model = model_of_target(target.name);
  const auto is_active = [&](const std::string& id) {
    if (is_base_load_pending(target, id)) return true;
    const home_server* server = this->find_usable_server(id, now);
    if (server == nullptr) return false;
    const auto* replica = server->replica(model);
    if (replica == nullptr) return false;
    return replica->state == wire::replica_state::ready ||
           replica->state == wire::replica_state::loading;
  };
  return static_cast<std::uint32_t>(
      std::count_if(target.servers.begin(), target.servers.end(), is_active));
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
    if (is_base_load_pending(target, id)) continue;
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
