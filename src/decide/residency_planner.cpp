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

/// Converts the number of waiting requests to a number of arrivals: requests
/// wait for a little over 2 s, arrivals count for 15 s.
constexpr double waiting_to_arrivals_factor = 6;
/// Remaining time that is assumed for an overdue load.
constexpr milliseconds min_remaining_load_time{200};

void add_residents_to_target(planned_worker& worker) {
  for (const auto& each : worker.report->models) {
    if (!worker.has_target_model(each.name))
      worker.target.models.push_back(each.name);
    for (const auto& adapter : each.adapters) {
      const std::string full = each.name + '/' + adapter;
      if (!contains_name(worker.target.adapters, full)) {
        worker.target.adapters.push_back(full);
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
  std::erase_if(worker.target.adapters, [&](const std::string& full) {
    return !worker.has_target_model(full.substr(0, full.find('/')));
  });
}

}  // namespace

void residency_planner::set_catalog(
    std::shared_ptr<const fleet::catalog> news) {
  this->catalog = std::move(news);
  this->models_by_name.clear();
  for (const auto& service : this->catalog->services) {
    for (const auto& each : service.models)
      this->models_by_name[each.name] = &each;
  }
}

void residency_planner::start(time_point now) {
  this->started_at = now;
  this->demand_by_router.clear();
  for (auto& [id, worker] : this->workers_by_id) worker.report.reset();
}

void residency_planner::set_servers(const fleet::server_list& list,
                                    time_point now) {
  std::erase_if(this->workers_by_id, [&list](const auto& each) {
    return !list.servers.contains(each.first);
  });
  for (const auto& [id, entry] : list.servers) {
    const auto added = this->workers_by_id.try_emplace(id);
    if (added.second) added.first->second.first_listed = now;
    added.first->second.list_entry = entry;
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
  for (const auto& each : report.on_disk) worker.local_copies[each] = false;
  for (const auto& each : report.in_memory) worker.local_copies[each] = true;
  std::erase_if(worker.resident_since, [&report](const auto& each) {
    return !report.find(each.first);
  });
  for (const auto& each : report.models)
    worker.resident_since.emplace(each.name, now);
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
  for (const auto& each : report.demands) {
    auto& state = this->demand_by_model[each.model];
    state.recent_arrivals.add(each.arrivals, now);
    if (!each.adapter.empty()) state.adapter_last_requested[each.adapter] = now;
  }
  for (const auto& each : report.unresponsive_servers) {
    const auto found = this->workers_by_id.find(each);
    if (found != this->workers_by_id.end())
      found->second.reported_unresponsive_at = now;
  }
  this->demand_by_router[router] = report;
}

void residency_planner::on_router_removed(const std::string& router) {
  this->demand_by_router.erase(router);
}

void residency_planner::aggregate_reports(time_point now) {
  for (auto& [name, state] : this->demand_by_model) {
    state.waiting = 0;
    state.waiting_weight = 0;
    state.oldest_wait = milliseconds(0);
    state.in_flight = 0;
    state.adapter_waiting.clear();
  }
  this->update_unresponsive_workers(now);
  this->replica_counts.clear();
  this->loaded_models.clear();
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
    for (const auto& each : report.demands) {
      auto& state = this->demand_by_model[each.model];
      state.waiting += each.waiting;
      state.waiting_weight += each.weight;
      state.oldest_wait = std::max(state.oldest_wait, each.oldest_wait);
      if (!each.adapter.empty() && each.waiting > 0) {
        state.adapter_waiting[each.adapter] += each.waiting;
      }
    }
    for (const auto& each : report.in_flight) {
      const auto found = this->workers_by_id.find(each.server);
      if (found == this->workers_by_id.end()) continue;
      found->second.in_flight[each.model] += each.requests;
      if (!each.adapter.empty()) {
        found->second.in_flight[each.model + '/' + each.adapter] +=
            each.requests;
      }
      found->second.total_in_flight += each.requests;
      this->demand_by_model[each.model].in_flight += each.requests;
    }
  }
}

void residency_planner::update_unresponsive_workers(time_point now) {
  for (auto& [id, worker] : this->workers_by_id) {
    worker.is_unresponsive =
        worker.reported_unresponsive_at &&
        now < *worker.reported_unresponsive_at +
                  this->settings.unresponsive_report_max_age;
  }
  // A router whose own connection to a worker is broken receives nothing from
  // it. Another router that has requests in flight there and does not report it
  // shows that the worker is alive.
  for (const auto& [router, report] : this->demand_by_router) {
    for (const auto& each : report.in_flight) {
      const auto found = this->workers_by_id.find(each.server);
      if (found == this->workers_by_id.end()) continue;
      if (!contains_name(report.unresponsive_servers, each.server))
        found->second.is_unresponsive = false;
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
    const auto unplaced = this->load_waiting_models(service, now);
    this->scale_out_busy_models(service, now);
    this->start_store_loads(service, now);
    this->estimate_delayed_loads(service, unplaced, now);
    this->preload_free_memory(service, now);
    this->prefetch_missing_copies(service, now);
    this->place_adapters(service, now);
  }
  return std::exchange(this->decided_loads, {});
}

std::vector<const fleet::model*> residency_planner::load_waiting_models(
    const fleet::service& service, time_point now) {
  std::vector<const fleet::model*> asked;
  for (const auto& model : service.models) {
    const auto found = this->demand_by_model.find(model.name);
    if (found == this->demand_by_model.end() || found->second.waiting == 0)
      continue;
    if (this->replica_count(model.name) == 0) asked.push_back(&model);
  }
  // Highest weight first, then longest wait.
  std::sort(asked.begin(), asked.end(),
            [this](const fleet::model* left, const fleet::model* right) {
              const auto& one = this->demand_by_model.at(left->name);
              const auto& other = this->demand_by_model.at(right->name);
              if (one.waiting_weight != other.waiting_weight) {
                return one.waiting_weight > other.waiting_weight;
              }
              return one.oldest_wait > other.oldest_wait;
            });
  std::vector<const fleet::model*> unplaced;
  for (const auto* model : asked) {
    const auto chosen = this->choose_worker(
        service, *model, std::numeric_limits<double>::max(), now);
    if (chosen && !chosen->from_store) {
      this->start_load(*chosen, "wake", now);
      continue;
    }
    unplaced.push_back(model);
    if (!chosen) continue;
    const auto asked_lately =
        this->demand_by_model.at(model->name).recent_arrivals.value(now);
    this->wanted_store_loads.push_back({model, "wake", asked_lately});
  }
  return unplaced;
}

void residency_planner::estimate_delayed_loads(
    const fleet::service& service,
    const std::vector<const fleet::model*>& unplaced, time_point now) {
  std::map<std::string, time_point> free_at;
  for (const auto& [id, worker] : this->workers_by_id) {
    const bool counts = worker.list_entry.service == service.name &&
                        !worker.is_draining() &&
                        this->is_responsive(worker, now);
    if (!counts) continue;
    auto& at = free_at[id] = now;
    if (!worker.pending_load) continue;
    at = std::max(worker.pending_load->due, now + min_remaining_load_time);
    const auto& model = worker.pending_load->model;
    // If it is already loaded elsewhere, no request waits for this load.
    if (this->loaded_models.contains(model)) continue;
    const auto known = this->ready_times.try_emplace(model, at).first;
    known->second = std::min(known->second, at);
  }
  auto store_free = this->store_slot_free_times(now);
  for (const auto* model : unplaced) {
    // A load from the store was started in this step.
    if (this->replica_count(model->name) > 0) continue;
    std::string soonest;
    time_point ready;
    bool from_store = false;
    for (const auto& [id, at] : free_at) {
      const auto& worker = this->workers_by_id.at(id);
      const bool fetched = !worker.local_copies.contains(model->name);
      const auto begin = fetched ? std::max(at, store_free.front()) : at;
      const auto there = begin + worker.load_time(*model);
      if (!soonest.empty() && there >= ready) continue;
      soonest = id;
      ready = there;
      from_store = fetched;
    }
    if (soonest.empty()) return;
    free_at[soonest] = ready;
    if (from_store) {
      store_free.front() = ready;
      std::sort(store_free.begin(), store_free.end());
    }
    this->ready_times[model->name] = ready;
  }
}

void residency_planner::scale_out_busy_models(const fleet::service& service,
                                              time_point now) {
  std::vector<std::pair<double, const fleet::model*>> busy;
  for (const auto& model : service.models) {
    const auto found = this->demand_by_model.find(model.name);
    if (found == this->demand_by_model.end()) continue;
    const int replicas = this->replica_count(model.name);
    if (replicas == 0) continue;
    const double requests = found->second.in_flight + found->second.waiting;
    const double each = requests / replicas;
    if (each > this->settings.requests_per_replica) {
      busy.emplace_back(each, &model);
    }
  }
  // Free workers and store slots are scarce: most requests per replica first.
  std::sort(busy.begin(), busy.end(), [](const auto& left, const auto& right) {
    return left.first > right.first;
  });
  for (const auto& [each, model] : busy) {
    this->scale_out(service, *model, each, now);
  }
}

void residency_planner::scale_out(const fleet::service& service,
                                  const fleet::model& model, double each,
                                  time_point now) {
  const auto& state = this->demand_by_model.at(model.name);
  const int replicas = this->replica_count(model.name);
  double load_there = 0;
  for (const auto& [id, worker] : this->workers_by_id) {
    if (worker.has_target_model(model.name))
      load_there += worker.total_in_flight;
  }
  load_there = std::max(load_there / replicas, each);
  const auto chosen = this->choose_worker(
      service, model, this->settings.scale_out_load_ratio * load_there, now);
  if (!chosen) return;
  // The eviction cost must not exceed the gain of these requests.
  if (chosen->eviction_cost_seconds > each) return;
  if (!chosen->from_store) {
    return this->start_load(*chosen, "relief", now);
  }
  // The store is many times slower, so it is used only for requests that exceed
  // the capacity of all replicas.
  if (!this->is_starved(model.name, state)) return;
  this->wanted_store_loads.push_back(
      {&model, "relief", state.waiting * waiting_to_arrivals_factor});
}

std::optional<residency_planner::load_choice> residency_planner::choose_worker(
    const fleet::service& service, const fleet::model& model,
    double most_requests, time_point now) {
  std::optional<load_choice> best;
  const bool may_load =
      this->active_store_loads() < this->store_limit.limit() &&
      !this->is_awaiting_first_reports(service, now);
  for (const auto& [id, worker] : this->workers_by_id) {
    if (worker.list_entry.service != service.name || worker.is_draining())
      continue;
    if (!this->is_responsive(worker, now) ||
        worker.total_in_flight > most_requests)
      continue;
    auto found = this->evaluate_worker(model, id, worker, may_load, now);
    if (found && (!best || found->cost_seconds < best->cost_seconds))
      best = std::move(found);
  }
  // The best worker must finish a running load first. It is still sooner than
  // starting a longer load elsewhere now.
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
                                   const planned_worker& worker, bool may_load,
                                   time_point now) const {
  if (worker.has_target_model(model.name) || worker.report->find(model.name)) {
    return std::nullopt;
  }
  load_choice found{.worker = id,
                    .model = &model,
                    .load_time = worker.load_time(model),
                    .from_store = !worker.local_copies.contains(model.name)};
  if (found.from_store && !may_load) return std::nullopt;
  double room = worker.free_memory_mb;
  for (const auto& [cost, name] : worker.eviction_candidates) {
    if (room >= model.weights_mb) break;
    const auto* victim = this->find_model(name);
    const auto* resident = worker.report->find(name);
    if (!victim || !resident) continue;
    room += victim->weights_mb +
            victim->adapter_mb * static_cast<double>(resident->adapters.size());
    found.evictions.push_back(name);
    found.eviction_cost_seconds += cost;
  }
  if (room < model.weights_mb) return std::nullopt;
  const double crowd = worker.list_entry.slots > 0
                           ? static_cast<double>(worker.total_in_flight) /
                                 worker.list_entry.slots
                           : 0;
  // A running load finishes first.
  constexpr milliseconds unknown_order{500};
  milliseconds before{0};
  if (worker.pending_load) {
    before = std::chrono::ceil<milliseconds>(worker.pending_load->due - now);
    before = std::max(before, min_remaining_load_time);
  } else if (worker.report->busy) {
    before = unknown_order;
  }
  const auto claims = this->queued_load_time.find(id);
  if (claims != this->queued_load_time.end()) before += claims->second;
  found.cost_seconds = seconds_of(found.load_time + before) +
                       found.eviction_cost_seconds + crowd;
  return found;
}

void residency_planner::start_load(const load_choice& chosen, const char* why,
                                   time_point now) {
  const fleet::model& model = *chosen.model;
  const auto& state = this->demand_by_model[model.name];
  this->decided_loads.push_back({.server = chosen.worker,
                                 .model = model.name,
                                 .reason = why,
                                 .evicted_models = chosen.evictions,
                                 .load_time = chosen.load_time,
                                 .from_store = chosen.from_store,
                                 .cost_s = chosen.cost_seconds,
                                 .waiting = state.waiting,
                                 .in_flight = state.in_flight,
                                 .replicas = this->replica_count(model.name)});
  auto& worker = this->workers_by_id.at(chosen.worker);
  for (const auto& victim : chosen.evictions) {
    remove_name(worker.target.models, victim);
    --this->replica_counts[victim];
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
