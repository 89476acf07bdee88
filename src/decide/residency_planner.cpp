#include "decide/residency_planner.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "decide/planner_name_list.hpp"
#include "decide/residency_load_choice.hpp"

namespace boragehill::decide {

using detail::contains_name;
using detail::remove_name;

namespace {

/// Remaining time that is assumed for an overdue load.
constexpr milliseconds min_remaining_load_time{200};

void add_residents_to_target(planned_worker& worker) {
  for (const auto& resident : worker.report->models) {
    if (!worker.has_target_model(resident.name))
      worker.target.models.push_back(resident.name);
    for (const auto& adapter : resident.adapters) {
      const std::string qualified_name = resident.name + '/' + adapter;
      if (!contains_name(worker.target.adapters, qualified_name)) {
        worker.target.adapters.push_back(qualified_name);
      }
    }
  }
}

void remove_lost_from_target(planned_worker& worker) {
  std::erase_if(worker.target.models, [&](const std::string& name) {
    const bool pending =
        worker.pending_load && worker.pending_load->model == name;
    return !pending && !worker.report->find(name);
  });
  std::erase_if(worker.target.adapters, [&](const std::string& qualified_name) {
    return !worker.has_target_model(
        qualified_name.substr(0, qualified_name.find('/')));
  });
}

}  // namespace

void residency_planner::set_catalog(
    std::shared_ptr<const fleet::catalog> new_catalog) {
  this->catalog = std::move(new_catalog);
  this->models_by_name.clear();
  for (const auto& service : this->catalog->services) {
    for (const auto& model : service.models)
      this->models_by_name[model.name] = &model;
  }
}

void residency_planner::start(time_point now) {
  this->started_at = now;
  this->demand_by_router.clear();
  for (auto& [id, worker] : this->workers_by_id) worker.report.reset();
}

void residency_planner::set_servers(const fleet::server_list& list,
                                    time_point now) {
  std::erase_if(this->workers_by_id, [&list](const auto& item) {
    return !list.servers.contains(item.first);
  });
  for (const auto& [id, server] : list.servers) {
    const auto inserted = this->workers_by_id.try_emplace(id);
    if (inserted.second) inserted.first->second.first_listed = now;
    inserted.first->second.list_entry = server;
  }
}

void residency_planner::on_report(const std::string& server,
                                  const fleet::worker_report& report,
                                  time_point now) {
  const auto found = this->workers_by_id.find(server);
  if (found == this->workers_by_id.end()) return;
  auto& worker = found->second;
  worker.report = report;
  worker.reported_at = now;
  worker.local_copies.clear();
  for (const auto& model : report.on_disk) worker.local_copies[model] = false;
  for (const auto& model : report.in_memory) worker.local_copies[model] = true;
  std::erase_if(worker.resident_since, [&report](const auto& resident) {
    return !report.find(resident.first);
  });
  for (const auto& model : report.models)
    worker.resident_since.emplace(model.name, now);
  this->update_pending_load(worker, now);
}

void residency_planner::on_worker_unreachable(const std::string& server) {
  const auto found = this->workers_by_id.find(server);
  if (found == this->workers_by_id.end()) return;
  auto& worker = found->second;
  worker.report.reset();
  worker.pending_load.reset();
  worker.target = {};
  worker.resident_since.clear();
}

void residency_planner::update_pending_load(planned_worker& worker,
                                            time_point now) {
  if (worker.is_loading_from_store() && worker.report->busy &&
      !worker.pending_load->first_seen_busy) {
    worker.pending_load->first_seen_busy = now;
  }
  if (worker.pending_load && worker.report->find(worker.pending_load->model)) {
    if (worker.is_loading_from_store())
      this->on_store_load_finished(*worker.pending_load, now);
    worker.pending_load.reset();
  }
  if (worker.pending_load && now > worker.pending_load->give_up_at) {
    remove_name(worker.target.models, worker.pending_load->model);
    worker.pending_load.reset();
  }
  remove_lost_from_target(worker);
  // Loaded models that no order evicts may continue to serve requests.
  if (!worker.pending_load) add_residents_to_target(worker);
}

void residency_planner::on_demand_report(const std::string& router,
                                         const demand_report& report,
                                         time_point now) {
  for (const auto& demand : report.demands) {
    auto& total = this->demand_by_model[demand.model];
    total.recent_arrivals.add(demand.arrivals, now);
    if (!demand.adapter.empty())
      total.adapter_last_requested[demand.adapter] = now;
  }
  for (const auto& server : report.unresponsive_servers) {
    const auto found = this->workers_by_id.find(server);
    if (found != this->workers_by_id.end())
      found->second.reported_unresponsive_at = now;
  }
  this->demand_by_router[router] = report;
}

void residency_planner::on_router_removed(const std::string& router) {
  this->demand_by_router.erase(router);
}

void residency_planner::aggregate_reports(time_point now) {
  for (auto& [name, total] : this->demand_by_model) {
    total.waiting = 0;
    total.waiting_weight = 0;
    total.oldest_wait = milliseconds(0);
    total.in_flight = 0;
    total.adapter_waiting.clear();
  }
  this->update_unresponsive_workers(now);
  this->bound_models.clear();
  this->replica_counts.clear();
  this->loaded_models.clear();
  this->holder_loads.clear();
  for (auto& [id, worker] : this->workers_by_id) {
    worker.in_flight.clear();
    worker.total_in_flight = 0;
    if (worker.is_draining() || !this->is_responsive(worker, now)) continue;
    for (const auto& name : worker.target.models) {
      ++this->replica_counts[name];
      if (worker.report->find(name)) this->loaded_models[name] = true;
    }
  }
  for (const auto& [router, report] : this->demand_by_router) {
    for (const auto& demand : report.demands) {
      if (!demand.software.empty()) {
        this->bound_models.emplace(demand.model, demand.adapter,
                                   demand.software);
        continue;
      }
      auto& total = this->demand_by_model[demand.model];
      total.waiting += demand.waiting;
      total.waiting_weight += demand.weight;
      total.oldest_wait = std::max(total.oldest_wait, demand.oldest_wait);
      if (!demand.adapter.empty() && demand.waiting > 0) {
        total.adapter_waiting[demand.adapter] += demand.waiting;
      }
    }
    for (const auto& entry : report.in_flight) {
      const auto found = this->workers_by_id.find(entry.server);
      if (found == this->workers_by_id.end()) continue;
      found->second.in_flight[entry.model] += entry.requests;
      if (!entry.adapter.empty()) {
        found->second.in_flight[entry.model + '/' + entry.adapter] +=
            entry.requests;
      }
      found->second.total_in_flight += entry.requests;
      this->demand_by_model[entry.model].in_flight += entry.requests;
    }
  }
  this->sum_holder_loads(now);
}

void residency_planner::sum_holder_loads(time_point now) {
  for (const auto& [id, worker] : this->workers_by_id) {
    if (worker.is_draining() || !this->is_responsive(worker, now)) continue;
    for (const auto& name : worker.target.models) {
      auto& load = this->holder_loads[name];
      load.in_flight += worker.total_in_flight;
      load.slots += worker.list_entry.slots;
    }
  }
}

std::vector<load_decision> residency_planner::step(time_point now) {
  if (!this->catalog) return {};
  this->aggregate_reports(now);
  this->observe_store_loads(now);
  this->ready_times.clear();
  this->queued_load_time.clear();
  for (const auto& service : this->catalog->services) {
    if (!service.has_engine) continue;
    this->update_eviction_candidates(service, now);
    this->wanted_store_loads.clear();
    const auto not_started = this->load_waiting_models(service, now);
    this->load_bound_models(service, now);
    this->scale_out_busy_models(service, now);
    this->start_store_loads(service, now);
    this->estimate_delayed_loads(service, not_started, now);
    this->preload_free_memory(service, now);
    this->prefetch_missing_copies(service, now);
    this->place_adapters(service, now);
  }
  return std::exchange(this->decided_loads, {});
}

std::vector<const fleet::model*> residency_planner::load_waiting_models(
    const fleet::service& service, time_point now) {
  std::vector<const fleet::model*> requested;
  for (const auto& model : service.models) {
    const auto found = this->demand_by_model.find(model.name);
    if (found == this->demand_by_model.end() || found->second.waiting == 0)
      continue;
    if (this->replica_count(model.name) == 0 ||
        this->needs_unlimited_replica(model.name, found->second)) {
      requested.push_back(&model);
    }
  }
  // Highest weight first, then longest wait.
  std::sort(requested.begin(), requested.end(),
            [this](const fleet::model* left, const fleet::model* right) {
              const auto& left_demand = this->demand_by_model.at(left->name);
              const auto& right_demand = this->demand_by_model.at(right->name);
              if (left_demand.waiting_weight != right_demand.waiting_weight) {
                return left_demand.waiting_weight > right_demand.waiting_weight;
              }
              return left_demand.oldest_wait > right_demand.oldest_wait;
            });
  std::vector<const fleet::model*> not_started;
  for (const auto* model : requested) {
    const auto chosen = this->choose_worker(
        service, *model, std::numeric_limits<double>::max(), now);
    if (chosen && !chosen->from_store) {
      this->start_load(*chosen, "wake", now);
      continue;
    }
    not_started.push_back(model);
    if (!chosen) continue;
    const auto requests_in_window =
        this->demand_by_model.at(model->name).recent_arrivals.value(now);
    this->wanted_store_loads.push_back({model, "wake", requests_in_window});
  }
  return not_started;
}

void residency_planner::estimate_delayed_loads(
    const fleet::service& service,
    const std::vector<const fleet::model*>& not_started, time_point now) {
  std::map<std::string, time_point> free_at;
  for (const auto& [id, worker] : this->workers_by_id) {
    const bool is_usable = worker.list_entry.service == service.name &&
                           !worker.is_draining() &&
                           this->is_responsive(worker, now);
    if (!is_usable) continue;
    auto& free_from = free_at[id] = now;
    if (!worker.pending_load) continue;
    free_from =
        std::max(worker.pending_load->due, now + min_remaining_load_time);
    const auto& model = worker.pending_load->model;
    // If it is already loaded elsewhere, no request waits for this load.
    if (this->loaded_models.contains(model)) continue;
    const auto ready_time =
        this->ready_times.try_emplace(model, free_from).first;
    ready_time->second = std::min(ready_time->second, free_from);
  }
  auto slot_free_times = this->store_slot_free_times(now);
  for (const auto* model : not_started) {
    // A load from the store was started in this step.
    if (this->replica_count(model->name) > 0) continue;
    std::string soonest_worker;
    time_point soonest_finish;
    bool soonest_needs_store = false;
    for (const auto& [id, free_from] : free_at) {
      const auto& worker = this->workers_by_id.at(id);
      const bool needs_store = !worker.local_copies.contains(model->name);
      const auto start = needs_store
                             ? std::max(free_from, slot_free_times.front())
                             : free_from;
      const auto finish = start + worker.load_time(*model);
      if (!soonest_worker.empty() && finish >= soonest_finish) continue;
      soonest_worker = id;
      soonest_finish = finish;
      soonest_needs_store = needs_store;
    }
    if (soonest_worker.empty()) return;
    free_at[soonest_worker] = soonest_finish;
    if (soonest_needs_store) {
      slot_free_times.front() = soonest_finish;
      std::sort(slot_free_times.begin(), slot_free_times.end());
    }
    this->ready_times[model->name] = soonest_finish;
  }
}

std::optional<residency_planner::load_choice> residency_planner::choose_worker(
    const fleet::service& service, const fleet::model& model,
    double max_in_flight, time_point now, const std::string& software) {
  std::optional<load_choice> best;
  // Streams that are bound to a version don't last as long as the store takes.
  const bool may_use_store =
      software.empty() &&
      this->active_store_loads() < this->store_limit.limit() &&
      !this->is_awaiting_first_reports(service, now);
  for (const auto& [id, worker] : this->workers_by_id) {
    if (worker.list_entry.service != service.name || worker.is_draining() ||
        worker.is_rate_limited)
      continue;
    if (!worker.has_software(software)) continue;
    if (!this->is_responsive(worker, now) ||
        worker.total_in_flight > max_in_flight)
      continue;
    auto found = this->evaluate_worker(model, id, worker, may_use_store, now);
    if (found && (!best || found->cost_seconds < best->cost_seconds))
      best = std::move(found);
  }
  // The best worker must finish a running load first. The model is still ready
  // sooner there than after a longer load that starts elsewhere now.
  if (best && !this->may_start_load(this->workers_by_id.at(best->worker),
                                    service, now)) {
    // Models considered later see this worker occupied for longer.
    this->queued_load_time[best->worker] += best->load_time;
    return std::nullopt;
  }
  return best;
}

std::optional<residency_planner::load_choice>
residency_planner::evaluate_worker(const fleet::model& model,
                                   const std::string& id,
                                   const planned_worker& worker,
                                   bool may_use_store, time_point now) const {
  if (worker.has_target_model(model.name) || worker.report->find(model.name)) {
    return std::nullopt;
  }
  load_choice found{.worker = id,
                    .model = &model,
                    .load_time = worker.load_time(model),
                    .from_store = !worker.local_copies.contains(model.name)};
  if (found.from_store && !may_use_store) return std::nullopt;
  double free_mb = worker.free_memory_mb;
  for (const auto& [eviction_cost, name] : worker.eviction_candidates) {
    if (free_mb >= model.weights_mb) break;
    const auto* candidate = this->find_model(name);
    const auto* resident = worker.report->find(name);
    if (!candidate || !resident) continue;
    free_mb +=
        candidate->weights_mb +
        candidate->adapter_mb * static_cast<double>(resident->adapters.size());
    found.evictions.push_back(name);
    found.eviction_cost_seconds += eviction_cost;
  }
  if (free_mb < model.weights_mb) return std::nullopt;
  // Full utilization of a worker counts as one second of waiting.
  const double utilization = worker.list_entry.slots > 0
                                 ? static_cast<double>(worker.total_in_flight) /
                                       worker.list_entry.slots
                                 : 0;
  // A running load finishes first.
  constexpr milliseconds unknown_load_time{500};
  milliseconds delay{0};
  if (worker.pending_load) {
    delay = std::chrono::ceil<milliseconds>(worker.pending_load->due - now);
    delay = std::max(delay, min_remaining_load_time);
  } else if (worker.report->busy) {
    delay = unknown_load_time;
  }
  const auto queued = this->queued_load_time.find(id);
  if (queued != this->queued_load_time.end()) delay += queued->second;
  found.cost_seconds = seconds_of(found.load_time + delay) +
                       found.eviction_cost_seconds + utilization;
  return found;
}

void residency_planner::start_load(const load_choice& chosen,
                                   const char* reason, time_point now) {
  const fleet::model& model = *chosen.model;
  const auto& demand = this->demand_by_model[model.name];
  this->decided_loads.push_back({.server = chosen.worker,
                                 .model = model.name,
                                 .reason = reason,
                                 .evicted_models = chosen.evictions,
                                 .load_time = chosen.load_time,
                                 .from_store = chosen.from_store,
                                 .cost_seconds = chosen.cost_seconds,
                                 .waiting = demand.waiting,
                                 .in_flight = demand.in_flight,
                                 .replicas = this->replica_count(model.name)});
  auto& worker = this->workers_by_id.at(chosen.worker);
  for (const auto& evicted : chosen.evictions) {
    remove_name(worker.target.models, evicted);
    --this->replica_counts[evicted];
  }
  ++this->replica_counts[model.name];
  this->update_eviction_candidates_of_holders(chosen.evictions, now);
  worker.target.models.push_back(model.name);
  remove_lost_from_target(worker);
  worker.pending_load = planned_load{
      .model = model.name,
      .from_store = chosen.from_store,
      .nominal_load_time = chosen.load_time,
      .due = now + chosen.load_time,
      .give_up_at = now + chosen.load_time * this->settings.give_up_factor +
                    milliseconds(3000)};
  // `remove_lost_from_target` keeps only models that are loaded or pending.
  if (!worker.has_target_model(model.name))
    worker.target.models.push_back(model.name);
}

int residency_planner::replica_count(const std::string& model) const {
  const auto found = this->replica_counts.find(model);
  return found == this->replica_counts.end() ? 0 : found->second;
}

bool residency_planner::may_start_load(const planned_worker& worker,
                                       const fleet::service& service,
                                       time_point now) const {
  return worker.list_entry.service == service.name && !worker.is_draining() &&
         this->is_responsive(worker, now) && !worker.pending_load &&
         !worker.report->busy;
}

bool residency_planner::is_awaiting_first_reports(const fleet::service& service,
                                                  time_point now) const {
  for (const auto& [id, worker] : this->workers_by_id) {
    if (worker.list_entry.service != service.name || worker.report) continue;
    const auto since = std::max(worker.first_listed, this->started_at);
    if (now < since + this->settings.first_report_timeout) return true;
  }
  return false;
}

}  // namespace boragehill::decide
