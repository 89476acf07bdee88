// The half of the policy world that wakes, evicts and loads.

#include <algorithm>
#include <optional>
#include <utility>

#include "decide/eviction.hpp"
#include "decide/placement_choice.hpp"
#include "policy_units.hpp"
#include "policy_world.hpp"

namespace boragehill::bench {

namespace {

bool is_idle(const policy_replica& replica) {
  return replica.ready && replica.running == 0;
}

}  // namespace

void policy_world::decide_wake(std::size_t model) {
  ++this->models[model].wakes;
  if (this->choice.standing_grants) {
    this->wake(model);
    return;
  }
  const bool down = this->now >= this->faults.table_down_from &&
                    this->now < this->faults.table_down_until;
  const milliseconds asked = down ? this->faults.table_down_until : this->now;
  this->schedule(asked + this->faults.table_latency,
                 [this, model] { this->wake(model); });
}

void policy_world::wake(std::size_t model) {
  model_state& state = this->models[model];
  decide::load_placement_request request{.model = numbered_name(model),
                                         .bytes = replica_bytes};
  for (std::size_t i = 0; i < this->workers.size(); ++i) {
    const bool granted =
        std::ranges::find(state.grants, i) != state.grants.end();
    if (this->choice.standing_grants && !granted) continue;
    const policy_worker& worker = this->workers[i];
    if (worker.replicas.contains(model)) continue;
    const std::size_t taken = worker.replicas.size();
    const auto idle_ones = std::ranges::count_if(
        worker.replicas,
        [](const auto& entry) { return is_idle(entry.second); });
    const auto evictable = static_cast<std::uint64_t>(idle_ones);
    request.candidates.push_back(
        {.server = worker.name,
         .tier = worker.tier(model),
         .free_bytes = replica_bytes * (this->scale.accelerators - taken),
         .evictable_bytes = replica_bytes * evictable,
         .running = static_cast<std::uint32_t>(taken)});
  }
  const auto chosen = decide::choose_load_server(request);
  if (chosen && this->begin_load(number_of(*chosen), model)) return;
  --state.wakes;
  if (chosen) this->blocked.insert(model);
}

bool policy_world::begin_load(std::size_t number, std::size_t model) {
  if (!this->make_room(number)) return false;
  policy_worker& worker = this->workers[number];
  const checkpoint_tier tier = worker.tier(model);
  const milliseconds load = this->load_time(tier);
  const milliseconds next =
      this->choice.expects_memory ? this->scale.load_from_memory : load;
  const milliseconds keep = decide::keep_warm_time(this->choice.keep_warm, next,
                                                   this->models[model].gaps);
  worker.replicas[model] = {.keep_warm = keep,
                            .number = this->replica_number++};
  ++this->counted.loads;
  if (tier == checkpoint_tier::remote) {
    this->ask_store(number, model);
    return true;
  }
  this->schedule(this->now + load,
                 [this, number, model] { this->finish_load(number, model); });
  return true;
}

bool policy_world::make_room(std::size_t number) {
  const policy_worker& worker = this->workers[number];
  if (worker.replicas.size() < this->scale.accelerators) return true;
  std::vector<decide::eviction_candidate> idle_ones;
  for (const auto& [model, replica] : worker.replicas) {
    if (!is_idle(replica)) continue;
    idle_ones.push_back({.name = numbered_name(model),
                         .bytes = replica_bytes,
                         .last_used = to_point(replica.last_used),
                         .keep_warm = replica.keep_warm,
                         .reload = this->load_time(worker.tier(model))});
  }
  if (idle_ones.empty()) return false;
  const auto oldest = std::ranges::min_element(
      idle_ones, std::less{}, &decide::eviction_candidate::last_used);
  const auto victim = this->choice.least_loss
                          ? decide::choose_eviction(idle_ones, replica_bytes,
                                                    to_point(this->now))
                          : std::optional(oldest->name);
  this->unload(number, number_of(*victim));
  return true;
}

void policy_world::ask_store(std::size_t worker, std::size_t model) {
  if (!this->choice.deadline_order) {
    this->first_come.emplace_back(worker, model);
  } else {
    // The load from disk follows the transfer, so the transfer's own deadline
    // is that much earlier.
    const milliseconds deadline =
        this->earliest_deadline(model) - this->scale.load_from_disk;
    this->pacing.enqueue({.server = this->workers[worker].name,
                          .model = numbered_name(model),
                          .deadline = to_point(deadline),
                          .tier = checkpoint_tier::remote});
  }
  this->pump_store();
}

void policy_world::pump_store() {
  if (this->choice.deadline_order) {
    for (const auto& load : this->pacing.start_ready(to_point(this->now))) {
      this->fetch(number_of(load.server), number_of(load.model));
    }
    return;
  }
  while (this->fetching.size() < this->scale.parallel_loads &&
         !this->first_come.empty()) {
    const auto [worker, model] = this->first_come.front();
    this->first_come.pop_front();
    this->fetch(worker, model);
  }
}

void policy_world::fetch(std::size_t worker, std::size_t model) {
  this->fetching.emplace(worker, model);
  const milliseconds transfer = this->transfer_time();
  this->schedule(this->now + transfer, [this, worker, model, transfer] {
    this->fetching.erase({worker, model});
    this->pacing.finish(this->workers[worker].name, numbered_name(model),
                        transfer);
    this->schedule(this->now + this->scale.load_from_disk,
                   [this, worker, model] { this->finish_load(worker, model); });
    this->pump_store();
  });
}

void policy_world::finish_load(std::size_t number, std::size_t model) {
  policy_worker& worker = this->workers[number];
  if (!this->faults.no_caches) {
    worker.keep_checkpoint(model, this->scale.in_memory, this->scale.on_disk);
  }
  policy_replica& replica = worker.replicas.at(model);
  replica.ready = true;
  replica.last_used = this->now;
  --this->models[model].wakes;
  this->blocked.erase(model);
  const std::uint64_t loaded = replica.number;
  this->serve_waiting(number, model);
  this->schedule(this->now + replica.keep_warm, [this, number, model, loaded] {
    this->unload_if_over(number, model, loaded);
  });
  this->retry_blocked();
}

void policy_world::retry_blocked() {
  const std::set<std::size_t> again = std::exchange(this->blocked, {});
  for (const std::size_t model : again) {
    this->give_up(model);
    if (this->models[model].waiting.empty()) continue;
    if (this->models[model].wakes > 0) continue;
    ++this->models[model].wakes;
    this->wake(model);
  }
}

}  // namespace boragehill::bench
