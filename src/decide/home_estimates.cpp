// The part of home that estimates when a request would start, and refuses those
// that can no longer meet their deadline.

#include <algorithm>

#include "decide/home.hpp"
#include "decide/name_list.hpp"
#include "decide/target_name.hpp"

namespace boragehill::decide {

milliseconds home::time_to_ready(const home_target& target,
                                 const std::string& adapter,
                                 time_point now) const {
  if (!is_model_target(target.name)) return milliseconds{0};
  const std::string model = model_of_target(target.name);
  milliseconds best = this->load_time(checkpoint_tier::remote);
  for (const auto& id : target.servers) {
    const home_server* server = this->find_usable_server(id, now);
    if (server == nullptr) continue;
    const auto* replica = server->replica(model);
    milliseconds wait = this->load_time(server->tier(model));
    if (replica != nullptr && replica->state == wire::replica_state::ready) {
      const bool has_adapter =
          adapter.empty() || contains(replica->adapters, adapter);
      wait = has_adapter ? milliseconds{0}
                         : this->load_time(checkpoint_tier::memory);
    }
    if (replica != nullptr && replica->state == wire::replica_state::loading) {
      wait = milliseconds(replica->ready_in_ms);
    }
    best = std::min(best, wait);
  }
  for (const auto& load : target.pending_loads) {
    if (load.adapter != adapter && !load.adapter.empty()) continue;
    const auto left =
        std::chrono::duration_cast<milliseconds>(load.expected_ready_at - now);
    best = std::min(best, std::max(left, milliseconds{0}));
  }
  return best;
}

milliseconds home::queue_time(const home_target& target, std::size_t ahead,
                              time_point now) const {
  std::uint32_t slots = 0;
  std::uint32_t cold_slots = 0;
  for (const auto& id : target.servers) {
    const home_server* server = this->find_usable_server(id, now);
    if (server == nullptr) continue;
    const std::uint32_t server_slots = server->report().slots;
    cold_slots = std::max(cold_slots, server_slots);
    if (this->can_run(target, *server, {})) slots += server_slots;
  }
  // Before the first replica is ready the queue waits for the one that loads.
  // If that replica counted as one slot, most of the first burst for a cold
  // model would be refused, although a replica runs many requests at once.
  if (slots == 0) slots = cold_slots;
  const auto rounds =
      static_cast<std::int64_t>(ahead / std::max<std::uint32_t>(slots, 1));
  return target.mean_run_time.value() * rounds;
}

milliseconds home::expected_wait(const std::string& name,
                                 const std::string& adapter,
                                 time_point now) const {
  const home_target* target = this->target(name);
  if (target == nullptr) return this->load_time(checkpoint_tier::remote);
  return this->time_to_ready(*target, adapter, now) +
         this->queue_time(*target, target->queue.size(), now);
}

bool home::has_measured_load_time(const home_target& target) const {
  if (!is_model_target(target.name)) return true;
  const std::string model = model_of_target(target.name);
  return std::any_of(
      target.servers.begin(), target.servers.end(), [&](const auto& id) {
        const auto known = this->known_servers.find(id);
        if (known == this->known_servers.end()) return false;
        const auto tier = static_cast<std::size_t>(known->second.tier(model));
        return this->mean_load_times[tier].has_measurement();
      });
}

void home::refuse_unreachable(home_target& target, time_point now) {
  // The initial load times are only guesses, so no request is refused before a
  // load time was measured.
  if (!this->has_measured_load_time(target)) return;
  std::size_t ahead = 0;
  auto at = target.queue.begin();
  while (at != target.queue.end()) {
    const auto start = this->time_to_ready(target, at->request.adapter, now) +
                       this->queue_time(target, ahead, now);
    if (now + start <= at->deadline) {
      ++ahead;
      ++at;
      continue;
    }
    const auto unreachable = at++;
    this->refuse_waiting(target, unreachable, result_code::deadline_unreachable,
                         "the earliest start is past its deadline", now);
  }
}

}  // namespace boragehill::decide
