#include "decide/residency_planner.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "decide/residency_choice.hpp"
#include "decide/residency_support.hpp"

namespace boragehill::decide {

using detail::holds;
using detail::remove_name;

namespace {

/// Converts the number of waiting requests to a number of arrivals: requests
/// wait for a little over 2 s, arrivals count for 15 s.
constexpr double waits_of_a_while = 6;
/// Remaining time that is assumed for an overdue load.
constexpr milliseconds busy_margin{200};

void adopt_residents(planned_worker& worker) {
  for (const auto& each : worker.report->models) {
    if (!worker.meant_for(each.name)) worker.target.models.push_back(each.name);
    for (const auto& adapter : each.adapters) {
      const std::string full = each.name + '/' + adapter;
      if (!holds(worker.target.adapters, full)) {
        worker.target.adapters.push_back(full);
      }
    }
  }
}

void forget_lost(planned_worker& worker) {
  std::erase_if(worker.target.models, [&](const std::string& name) {
    const bool pending = worker.pending && worker.pending->model == name;
    return !pending && !worker.report->find(name);
  });
  std::erase_if(worker.target.adapters, [&](const std::string& full) {
    return !worker.meant_for(full.substr(0, full.find('/')));
  });
}

}  // namespace

void residency_planner::set_catalog(
    std::shared_ptr<const fleet::catalog> news) {
  this->catalog = std::move(news);
  this->specs.clear();
  for (const auto& service : this->catalog->services) {
    for (const auto& each : service.models) this->specs[each.name] = &each;
  }
}

void residency_planner::begin(time_point now) {
  this->began = now;
  this->routers.clear();
  for (auto& [id, worker] : this->known) worker.report.reset();
}

void residency_planner::set_servers(const fleet::server_list& list,
                                    time_point now) {
  std::erase_if(this->known, [&list](const auto& each) {
    return !list.servers.contains(each.first);
  });
  for (const auto& [id, entry] : list.servers) {
    const auto added = this->known.try_emplace(id);
    if (added.second) added.first->second.listed = now;
    added.first->second.entry = entry;
  }
}

void residency_planner::on_report(const std::string& server,
                                  const fleet::worker_report& report,
                                  time_point now) {
  const auto found = this->known.find(server);
  if (found == this->known.end()) return;
  auto& worker = found->second;
  worker.report = report;
  worker.reported = now;
  worker.copies.clear();
  for (const auto& each : report.on_disk) worker.copies[each] = false;
  for (const auto& each : report.in_memory) worker.copies[each] = true;
  std::erase_if(worker.since, [&report](const auto& each) {
    return !report.find(each.first);
  });
  for (const auto& each : report.models) worker.since.emplace(each.name, now);
  this->settle_pending(worker, now);
}

void residency_planner::on_unreachable(const std::string& server) {
  const auto found = this->known.find(server);
  if (found == this->known.end()) return;
  auto& worker = found->second;
  worker.report.reset();
  worker.pending.reset();
  worker.target = {};
  worker.since.clear();
}

void residency_planner::settle_pending(planned_worker& worker, time_point now) {
  if (worker.loads_from_store() && worker.report->busy &&
      !worker.pending->seen) {
    worker.pending->seen = now;
  }
  if (worker.pending && worker.report->find(worker.pending->model)) {
    if (worker.loads_from_store()) this->watch_load(*worker.pending, now);
    worker.pending.reset();
  }
  if (worker.pending && now > worker.pending->give_up) {
    remove_name(worker.target.models, worker.pending->model);
    worker.pending.reset();
  }
  forget_lost(worker);
  // Loaded models that no order evicts may continue to serve requests.
  if (!worker.pending) adopt_residents(worker);
}

void residency_planner::on_demand(const std::string& router,
                                  const demand_report& report, time_point now) {
  for (const auto& each : report.demands) {
    auto& state = this->models[each.model];
    state.arrivals.add(each.arrivals, now);
    if (!each.adapter.empty()) state.adapter_asked[each.adapter] = now;
  }
  for (const auto& each : report.silent) {
    const auto found = this->known.find(each);
    if (found != this->known.end()) found->second.told_silent = now;
  }
  this->routers[router] = report;
}

void residency_planner::on_router_gone(const std::string& router) {
  this->routers.erase(router);
}

void residency_planner::sum_up(time_point now) {
  for (auto& [name, state] : this->models) {
    state.waiting = 0;
    state.waiting_worth = 0;
    state.oldest = milliseconds(0);
    state.flying = 0;
    state.adapter_waiting.clear();
  }
  this->judge_silence(now);
  this->replicas.clear();
  this->served.clear();
  for (auto& [id, worker] : this->known) {
    worker.flights.clear();
    worker.requests = 0;
    if (worker.leaves() || !this->fresh(worker, now)) continue;
    for (const auto& name : worker.target.models) {
      ++this->replicas[name];
      if (worker.report->find(name)) this->served[name] = true;
    }
  }
  for (const auto& [router, report] : this->routers) {
    for (const auto& each : report.demands) {
      auto& state = this->models[each.model];
      state.waiting += each.waiting;
      state.waiting_worth += each.worth;
      state.oldest = std::max(state.oldest, each.oldest);
      if (!each.adapter.empty() && each.waiting > 0) {
        state.adapter_waiting[each.adapter] += each.waiting;
      }
    }
    for (const auto& each : report.flights) {
      const auto found = this->known.find(each.server);
      if (found == this->known.end()) continue;
      found->second.flights[each.model] += each.requests;
      if (!each.adapter.empty()) {
        found->second.flights[each.model + '/' + each.adapter] += each.requests;
      }
      found->second.requests += each.requests;
      this->models[each.model].flying += each.requests;
    }
  }
}

void residency_planner::judge_silence(time_point now) {
  for (auto& [id, worker] : this->known) {
    worker.silent = worker.told_silent &&
                    now < *worker.told_silent + this->settings.silence_trust;
  }
  // A router whose own connection to a worker is broken receives nothing from
  // it. Another router that has requests in flight there and does not report it
  // shows that the worker is alive.
  for (const auto& [router, report] : this->routers) {
    for (const auto& each : report.flights) {
      const auto found = this->known.find(each.server);
      if (found == this->known.end()) continue;
      if (!holds(report.silent, each.server)) found->second.silent = false;
    }
  }
}

std::vector<residency_move> residency_planner::step(time_point now) {
  if (!this->catalog) return {};
  this->sum_up(now);
  this->watch_store(now);
  this->expectations.clear();
  this->claimed.clear();
  for (const auto& service : this->catalog->services) {
    if (!service.has_engine) continue;
    this->appraise(service, now);
    this->from_store.clear();
    const auto unplaced = this->wake_waiting(service, now);
    this->relieve_busy(service, now);
    this->load_from_store(service, now);
    this->expect_later(service, unplaced, now);
    this->stock_free_places(service, now);
    this->fetch_ahead(service, now);
    this->place_adapters(service, now);
  }
  return std::exchange(this->moves, {});
}

std::vector<const fleet::model*> residency_planner::wake_waiting(
    const fleet::service& service, time_point now) {
  std::vector<const fleet::model*> asked;
  for (const auto& model : service.models) {
    const auto found = this->models.find(model.name);
    if (found == this->models.end() || found->second.waiting == 0) continue;
    if (this->replicas_of(model.name) == 0) asked.push_back(&model);
  }
  // Highest weight first, then longest wait.
  std::sort(asked.begin(), asked.end(),
            [this](const fleet::model* left, const fleet::model* right) {
              const auto& one = this->models.at(left->name);
              const auto& other = this->models.at(right->name);
              if (one.waiting_worth != other.waiting_worth) {
                return one.waiting_worth > other.waiting_worth;
              }
              return one.oldest > other.oldest;
            });
  std::vector<const fleet::model*> unplaced;
  for (const auto* model : asked) {
    const auto chosen = this->choose_worker(
        service, *model, std::numeric_limits<double>::max(), now);
    if (chosen && !chosen->from_store) {
      this->carry_out(*chosen, "wake", now);
      continue;
    }
    unplaced.push_back(model);
    if (!chosen) continue;
    const auto asked_lately = this->models.at(model->name).arrivals.value(now);
    this->from_store.push_back({model, "wake", asked_lately});
  }
  return unplaced;
}

void residency_planner::expect_later(
    const fleet::service& service,
    const std::vector<const fleet::model*>& unplaced, time_point now) {
  std::map<std::string, time_point> free_at;
  for (const auto& [id, worker] : this->known) {
    const bool counts = worker.entry.service == service.name &&
                        !worker.leaves() && this->fresh(worker, now);
    if (!counts) continue;
    auto& at = free_at[id] = now;
    if (!worker.pending) continue;
    at = std::max(worker.pending->due, now + busy_margin);
    const auto& model = worker.pending->model;
    // If it is already loaded elsewhere, no request waits for this load.
    if (this->served.contains(model)) continue;
    const auto known = this->expectations.try_emplace(model, at).first;
    known->second = std::min(known->second, at);
  }
  auto store_free = this->store_free_at(now);
  for (const auto* model : unplaced) {
    // A load from the store was started in this step.
    if (this->replicas_of(model->name) > 0) continue;
    std::string soonest;
    time_point ready;
    bool from_store = false;
    for (const auto& [id, at] : free_at) {
      const auto& worker = this->known.at(id);
      const bool fetched = !worker.copies.contains(model->name);
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
    this->expectations[model->name] = ready;
  }
}

void residency_planner::relieve_busy(const fleet::service& service,
                                     time_point now) {
  std::vector<std::pair<double, const fleet::model*>> busy;
  for (const auto& model : service.models) {
    const auto found = this->models.find(model.name);
    if (found == this->models.end()) continue;
    const int replicas = this->replicas_of(model.name);
    if (replicas == 0) continue;
    const double requests = found->second.flying + found->second.waiting;
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
    this->relieve(service, *model, each, now);
  }
}

void residency_planner::relieve(const fleet::service& service,
                                const fleet::model& model, double each,
                                time_point now) {
  const auto& state = this->models.at(model.name);
  const int replicas = this->replicas_of(model.name);
  double load_there = 0;
  for (const auto& [id, worker] : this->known) {
    if (worker.meant_for(model.name)) load_there += worker.requests;
  }
  load_there = std::max(load_there / replicas, each);
  const auto chosen = this->choose_worker(
      service, model, this->settings.relief * load_there, now);
  if (!chosen) return;
  // The eviction cost must not exceed the gain of these requests.
  if (chosen->loss > each) return;
  if (!chosen->from_store) {
    return this->carry_out(*chosen, "relief", now);
  }
  // The store is many times slower, so it is used only for requests that exceed
  // the capacity of all replicas.
  if (!this->starves(model.name, state)) return;
  this->from_store.push_back(
      {&model, "relief", state.waiting * waits_of_a_while});
}

std::optional<residency_planner::choice> residency_planner::choose_worker(
    const fleet::service& service, const fleet::model& model,
    double most_requests, time_point now) {
  std::optional<choice> best;
  const bool may_load = this->store_loads() < this->pace.at_once() &&
                        !this->acquainting(service, now);
  for (const auto& [id, worker] : this->known) {
    if (worker.entry.service != service.name || worker.leaves()) continue;
    if (!this->fresh(worker, now) || worker.requests > most_requests) continue;
    auto found = this->consider(model, id, worker, may_load, now);
    if (found && (!best || found->cost < best->cost)) best = std::move(found);
  }
  // The best worker must finish a running load first. It is still sooner than
  // starting a longer load elsewhere now.
  if (best && !this->usable(this->known.at(best->worker), service, now)) {
    // Models considered later see this worker occupied for longer.
    this->claimed[best->worker] += best->time;
    return std::nullopt;
  }
  return best;
}

std::optional<residency_planner::choice> residency_planner::consider(
    const fleet::model& model, const std::string& id,
    const planned_worker& worker, bool may_load, time_point now) const {
  if (worker.meant_for(model.name) || worker.report->find(model.name)) {
    return std::nullopt;
  }
  choice found{.worker = id,
               .model = &model,
               .time = worker.load_time(model),
               .from_store = !worker.copies.contains(model.name)};
  if (found.from_store && !may_load) return std::nullopt;
  double room = worker.room_mb;
  for (const auto& [cost, name] : worker.droppable) {
    if (room >= model.weights_mb) break;
    const auto* victim = this->model_of(name);
    const auto* resident = worker.report->find(name);
    if (!victim || !resident) continue;
    room += victim->weights_mb +
            victim->adapter_mb * static_cast<double>(resident->adapters.size());
    found.victims.push_back(name);
    found.loss += cost;
  }
  if (room < model.weights_mb) return std::nullopt;
  const double crowd =
      worker.entry.slots > 0
          ? static_cast<double>(worker.requests) / worker.entry.slots
          : 0;
  // A running load finishes first.
  constexpr milliseconds unknown_order{500};
  milliseconds before{0};
  if (worker.pending) {
    before = std::chrono::ceil<milliseconds>(worker.pending->due - now);
    before = std::max(before, busy_margin);
  } else if (worker.report->busy) {
    before = unknown_order;
  }
  const auto claims = this->claimed.find(id);
  if (claims != this->claimed.end()) before += claims->second;
  found.cost = seconds_of(found.time + before) + found.loss + crowd;
  return found;
}

void residency_planner::carry_out(const choice& chosen, const char* why,
                                  time_point now) {
  const fleet::model& model = *chosen.model;
  const auto& state = this->models[model.name];
  this->moves.push_back({.server = chosen.worker,
                         .model = model.name,
                         .why = why,
                         .victims = chosen.victims,
                         .load_time = chosen.time,
                         .from_store = chosen.from_store,
                         .cost = chosen.cost,
                         .waiting = state.waiting,
                         .flying = state.flying,
                         .replicas = this->replicas_of(model.name)});
  auto& worker = this->known.at(chosen.worker);
  for (const auto& victim : chosen.victims) {
    remove_name(worker.target.models, victim);
    --this->replicas[victim];
  }
  ++this->replicas[model.name];
  this->appraise_holders(chosen.victims, now);
  worker.target.models.push_back(model.name);
  forget_lost(worker);
  worker.pending =
      planned_load{.model = model.name,
                   .from_store = chosen.from_store,
                   .usual = chosen.time,
                   .due = now + chosen.time,
                   .give_up = now + chosen.time * this->settings.patience +
                              milliseconds(3000)};
  // `remove_lost_from_target` keeps only models that are loaded or pending.
  if (!worker.meant_for(model.name)) worker.target.models.push_back(model.name);
}

int residency_planner::replicas_of(const std::string& model) const {
  const auto found = this->replicas.find(model);
  return found == this->replicas.end() ? 0 : found->second;
}

bool residency_planner::usable(const planned_worker& worker,
                               const fleet::service& service,
                               time_point now) const {
  return worker.entry.service == service.name && !worker.leaves() &&
         this->fresh(worker, now) && !worker.pending && !worker.report->busy;
}

bool residency_planner::acquainting(const fleet::service& service,
                                    time_point now) const {
  for (const auto& [id, worker] : this->known) {
    if (worker.entry.service != service.name || worker.report) continue;
    const auto since = std::max(worker.listed, this->began);
    if (now < since + this->settings.acquaint) return true;
  }
  return false;
}

}  // namespace boragehill::decide
