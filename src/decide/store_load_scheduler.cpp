#include "decide/store_load_scheduler.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// Weight of the latest load in the moving average of load times.
constexpr double newest_weight = 0.2;

bool needs_slot(const queued_load& load) {
  return load.tier == checkpoint_tier::remote;
}

milliseconds to_milliseconds(time_point::duration span) {
  return std::chrono::duration_cast<milliseconds>(span);
}

}  // namespace

store_load_scheduler::store_load_scheduler(
    store_load_scheduler_settings settings)
    : settings(settings), mean_load_time(settings.initial_load_time) {}

bool store_load_scheduler::enqueue(const queued_load& load) {
  const load_key key{load.server, load.model};
  if (this->slots.contains(key)) return true;
  const auto found = this->queue.find(key);
  if (found != this->queue.end()) {
    queued_load merged = load;
    merged.deadline = std::min(load.deadline, found->second.deadline);
    found->second = merged;
    return true;
  }
  if (this->queue.size() >= this->settings.max_waiting) return false;
  this->queue.emplace(key, load);
  return true;
}

std::vector<queued_load> store_load_scheduler::start_ready(time_point now) {
  this->release_expired_slots(now);
  std::vector<queued_load> started;
  for (queued_load& load : this->sorted_queue(now)) {
    const load_key key{load.server, load.model};
    if (needs_slot(load)) {
      if (this->slots.size() >= this->settings.max_parallel) continue;
      this->slots.emplace(key, now);
    }
    this->queue.erase(key);
    started.push_back(std::move(load));
  }
  return started;
}

void store_load_scheduler::finish(const std::string& server,
                                  const std::string& model,
                                  milliseconds duration) {
  const load_key key{server, model};
  this->queue.erase(key);
  const bool held_slot = this->slots.erase(key) > 0;
  if (!held_slot || duration <= milliseconds{0}) return;
  const double mean = static_cast<double>(this->mean_load_time.count());
  const double newest = static_cast<double>(duration.count());
  const double next = mean + newest_weight * (newest - mean);
  this->mean_load_time = milliseconds{static_cast<std::int64_t>(next)};
}

milliseconds store_load_scheduler::expected_wait(time_point deadline,
                                                 time_point now) const {
  const queued_load candidate{.deadline = deadline};
  std::size_t ahead = 0;
  for (const auto& [key, load] : this->queue) {
    if (needs_slot(load) && load.deadline <= candidate.deadline) ahead += 1;
  }
  std::vector<milliseconds> remaining;
  for (const auto& [key, started_at] : this->slots) {
    remaining.push_back(this->mean_load_time -
                        to_milliseconds(now - started_at));
  }
  return expected_start(ahead, std::move(remaining),
                        this->settings.max_parallel, this->mean_load_time);
}

milliseconds store_load_scheduler::load_time() const {
  return this->mean_load_time;
}

std::size_t store_load_scheduler::waiting() const {
  return this->queue.size();
}

std::size_t store_load_scheduler::running() const {
  return this->slots.size();
}

void store_load_scheduler::release_expired_slots(time_point now) {
  // An agent that crashes during a load never reports the load's end. Without
  // the time-out the slot would stay taken, and after a few crashes no remote
  // load could start. The time-out is longer than any normal load; if a slow
  // load exceeds it, one more load shares the store's bandwidth.
  std::erase_if(this->slots, [&](const auto& slot) {
    return now - slot.second > this->settings.slot_timeout;
  });
}

std::vector<queued_load> store_load_scheduler::sorted_queue(
    time_point now) const {
  std::vector<queued_load> loads;
  loads.reserve(this->queue.size());
  for (const auto& [key, load] : this->queue) loads.push_back(load);
  const time_point earliest_end = now + this->mean_load_time;
  const auto is_late = [&](const queued_load& load) {
    return needs_slot(load) && load.deadline < earliest_end;
  };
  std::ranges::stable_sort(loads, std::less{}, [&](const queued_load& load) {
    return std::pair{is_late(load), load.deadline};
  });
  return loads;
}

milliseconds expected_start(std::size_t position,
                            std::vector<milliseconds> remaining,
                            std::uint32_t max_parallel,
                            milliseconds load_time) {
  const std::size_t slots = std::max<std::size_t>(max_parallel, 1);
  for (milliseconds& span : remaining) span = std::max(span, milliseconds{0});
  std::ranges::sort(remaining);
  // The limit is soft, so more loads may run than there are slots. The first
  // ends only bring the number down to the limit and free no slot.
  if (remaining.size() > slots) {
    const auto surplus = static_cast<std::ptrdiff_t>(remaining.size() - slots);
    remaining.erase(remaining.begin(), remaining.begin() + surplus);
  }
  remaining.insert(remaining.begin(), slots - remaining.size(),
                   milliseconds{0});
  const auto rounds = static_cast<std::int64_t>(position / slots);
  return remaining[position % slots] + rounds * load_time;
}

}  // namespace boragehill::decide
