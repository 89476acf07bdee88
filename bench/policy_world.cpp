#include "policy_world.hpp"

#include <algorithm>
#include <optional>
#include <string>

#include "decide/placement_choice.hpp"
#include "policy_units.hpp"

namespace boragehill::bench {

namespace {

decide::store_load_scheduler_settings pacing_settings(const policy_scale& scale,
                                                      milliseconds transfer) {
  return {.max_parallel = scale.parallel_loads,
          .initial_load_time = transfer,
          .slot_timeout = std::chrono::hours(24),
          .max_waiting = 100000};
}

milliseconds transfer_of(const policy_scale& scale,
                         const policy_faults& faults) {
  const double seconds = static_cast<double>(scale.parallel_loads) /
                         (scale.loads_a_second * faults.store_speed);
  return milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

}  // namespace

policy_world::policy_world(policy_scale size, policy_choice wanted,
                           policy_faults failures, std::uint64_t seed)
    : scale(std::move(size)),
      choice(wanted),
      faults(failures),
      random(seed),
      workers(this->scale.workers),
      models(this->scale.models),
      pacing(pacing_settings(this->scale,
                             transfer_of(this->scale, this->faults))) {
  for (std::size_t i = 0; i < this->workers.size(); ++i) {
    const std::size_t domain = i % this->scale.failure_domains;
    this->workers[i].name = numbered_name(i);
    this->workers[i].failure_domain = "domain-" + std::to_string(domain);
  }
  this->cache_unevenly();
  this->place_grants();
}

policy_outcome policy_world::run(const std::vector<arrival>& arrivals) {
  this->counted.requests = arrivals.size();
  auto next = arrivals.begin();
  while (next != arrivals.end() || !this->events.empty()) {
    const bool arrives =
        next != arrivals.end() &&
        (this->events.empty() || next->at <= this->events.top().at);
    if (arrives) {
      this->now = next->at;
      this->on_arrival(*next++);
      continue;
    }
    const event due = this->events.top();
    this->events.pop();
    this->now = due.at;
    due.act();
  }
  for (const model_state& state : this->models) {
    for (const arrival& left : state.waiting) {
      this->note_cold(left.patience, true);
    }
  }
  return this->summarize();
}

void policy_world::cache_unevenly() {
  if (this->faults.no_caches) return;
  for (policy_worker& worker : this->workers) {
    const std::size_t kept = this->random() % (this->scale.on_disk + 1);
    for (std::size_t i = 0; i < kept; ++i) {
      const std::size_t model = this->random() % this->scale.models;
      worker.keep_checkpoint(model, this->scale.in_memory, this->scale.on_disk);
    }
    worker.memory.clear();
  }
}

void policy_world::place_grants() {
  for (std::size_t model = 0; model < this->models.size(); ++model) {
    model_state& state = this->models[model];
    state.grants = this->choose_grants(model);
    std::set<std::string> domains;
    for (const std::size_t worker : state.grants) {
      domains.insert(this->workers[worker].failure_domain);
    }
    if (domains.size() == 1) ++this->counted.in_one_domain;
  }
}

std::vector<std::size_t> policy_world::choose_grants(std::size_t model) {
  std::vector<std::size_t> chosen;
  if (!this->choice.chosen_placement) {
    while (chosen.size() < this->scale.grants) {
      const std::size_t worker = this->random() % this->workers.size();
      if (std::ranges::find(chosen, worker) != chosen.end()) continue;
      chosen.push_back(worker);
    }
    return chosen;
  }
  decide::placement_request request{
      .model = numbered_name(model),
      .bytes = replica_bytes,
      .wanted_grants = static_cast<std::uint32_t>(this->scale.grants)};
  for (std::size_t i = 0; i < this->workers.size(); ++i) {
    std::uint64_t granted = 0;
    for (const model_state& state : this->models) {
      granted += replica_bytes * static_cast<std::uint64_t>(
                                     std::ranges::count(state.grants, i));
    }
    const policy_worker& worker = this->workers[i];
    request.servers.push_back(
        {.id = worker.name,
         .failure_domain = worker.failure_domain,
         .capacity_bytes = replica_bytes * this->scale.accelerators,
         .granted_bytes = granted,
         .tier = worker.tier(model)});
  }
  for (const std::string& name : decide::choose_grant_servers(request)) {
    chosen.push_back(number_of(name));
  }
  return chosen;
}

void policy_world::schedule(milliseconds at, std::function<void()> act) {
  this->events.push({at, this->order++, std::move(act)});
}

void policy_world::on_arrival(const arrival& request) {
  model_state& state = this->models[request.model];
  if (state.last_end >= milliseconds{0}) {
    state.gaps.add(std::max(this->now - state.last_end, milliseconds{0}));
  }
  if (this->run_where_ready(request)) return;
  state.waiting.push_back(request);
  const bool on_its_way =
      state.wakes > 0 || this->blocked.contains(request.model);
  if (on_its_way && this->choice.one_wake_a_burst) return;
  this->decide_wake(request.model);
}

bool policy_world::run_where_ready(const arrival& request) {
  std::optional<std::size_t> best;
  std::uint32_t least = 0;
  for (std::size_t i = 0; i < this->workers.size(); ++i) {
    const auto& replicas = this->workers[i].replicas;
    const auto found = replicas.find(request.model);
    if (found == replicas.end() || !found->second.ready) continue;
    if (best && found->second.running >= least) continue;
    best = i;
    least = found->second.running;
  }
  if (!best) return false;
  this->begin_run(*best, request);
  return true;
}

void policy_world::begin_run(std::size_t worker, const arrival& request) {
  policy_replica& replica = this->workers[worker].replicas.at(request.model);
  if (replica.running == 0) this->idle += this->now - replica.last_used;
  ++replica.running;
  const std::size_t model = request.model;
  this->schedule(this->now + request.run,
                 [this, worker, model] { this->end_run(worker, model); });
}

void policy_world::end_run(std::size_t worker, std::size_t model) {
  policy_replica& replica = this->workers[worker].replicas.at(model);
  --replica.running;
  replica.last_used = this->now;
  this->models[model].last_end = this->now;
  if (replica.running > 0) return;
  const std::uint64_t number = replica.number;
  this->schedule(this->now + replica.keep_warm, [this, worker, model, number] {
    this->unload_if_over(worker, model, number);
  });
  this->retry_blocked();
}

void policy_world::unload_if_over(std::size_t worker, std::size_t model,
                                  std::uint64_t number) {
  const auto& replicas = this->workers[worker].replicas;
  const auto found = replicas.find(model);
  if (found == replicas.end() || found->second.number != number) return;
  const policy_replica& replica = found->second;
  const bool over = decide::is_past_keep_warm(
      replica.keep_warm, to_point(replica.last_used), to_point(this->now));
  if (replica.running > 0 || !over) return;
  this->unload(worker, model);
  this->retry_blocked();
}

void policy_world::unload(std::size_t worker, std::size_t model) {
  auto& replicas = this->workers[worker].replicas;
  this->idle += this->now - replicas.at(model).last_used;
  replicas.erase(model);
}

void policy_world::serve_waiting(std::size_t worker, std::size_t model) {
  this->give_up(model);
  auto& waiting = this->models[model].waiting;
  for (const arrival& request : waiting) {
    this->note_cold(this->now - request.at, false);
    this->begin_run(worker, request);
  }
  waiting.clear();
}

void policy_world::give_up(std::size_t model) {
  std::erase_if(this->models[model].waiting, [this](const arrival& request) {
    const bool missed = request.at + request.patience <= this->now;
    if (missed) this->note_cold(request.patience, true);
    return missed;
  });
}

milliseconds policy_world::load_time(checkpoint_tier tier) const {
  if (tier == checkpoint_tier::memory) return this->scale.load_from_memory;
  if (tier == checkpoint_tier::disk) return this->scale.load_from_disk;
  return this->transfer_time() + this->scale.load_from_disk;
}

milliseconds policy_world::transfer_time() const {
  return transfer_of(this->scale, this->faults);
}

milliseconds policy_world::earliest_deadline(std::size_t model) const {
  milliseconds earliest = milliseconds::max();
  for (const arrival& request : this->models[model].waiting) {
    earliest = std::min(earliest, request.at + request.patience);
  }
  return earliest;
}

void policy_world::note_cold(milliseconds wait, bool missed) {
  this->cold_waits.push_back(wait);
  if (missed) ++this->counted.missed;
}

double policy_world::quantile_of_all(const std::vector<milliseconds>& cold,
                                     double share) const {
  const std::uint64_t warm = this->counted.requests - cold.size();
  const auto place = static_cast<std::uint64_t>(
      share * static_cast<double>(this->counted.requests));
  if (place < warm || place - warm >= cold.size()) return 0;
  return static_cast<double>(cold[place - warm].count()) / 1000.0;
}

policy_outcome policy_world::summarize() const {
  policy_outcome result = this->counted;
  std::vector<milliseconds> sorted = this->cold_waits;
  std::ranges::sort(sorted);
  const auto quantile = [&](double share) {
    if (sorted.empty()) return 0.0;
    const auto last = static_cast<double>(sorted.size() - 1);
    const auto place = static_cast<std::size_t>(share * last);
    return static_cast<double>(sorted[place].count()) / 1000.0;
  };
  const auto hours = [](milliseconds span) {
    return static_cast<double>(span.count()) / 3.6e6;
  };
  milliseconds waited{0};
  for (const milliseconds wait : sorted) waited += wait;
  result.cold = sorted.size();
  result.cold_p50 = quantile(0.5);
  result.cold_p99 = quantile(0.99);
  result.all_p95 = this->quantile_of_all(sorted, 0.95);
  const auto requests =
      static_cast<double>(std::max<std::uint64_t>(result.requests, 1));
  const auto cold =
      static_cast<double>(std::max<std::uint64_t>(result.cold, 1));
  result.cold_share = static_cast<double>(result.cold) / requests;
  result.missed_share = static_cast<double>(result.missed) / cold;
  result.idle_hours = hours(this->idle);
  result.weighted = this->scale.cold_start_weight * hours(waited) +
                    this->scale.idle_weight * result.idle_hours;
  return result;
}

}  // namespace boragehill::bench
