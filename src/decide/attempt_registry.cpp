#include "decide/attempt_registry.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

constexpr admission_decision refuse(result_code code) {
  return {.code = code, .ran = ran_state::no};
}

admission_decision decide_on_known(attempt_state state) {
  if (state == attempt_state::never_ran) {
    return refuse(result_code::attempt_tombstoned);
  }
  return {.code = result_code::attempt_seen, .ran = ran_state::unknown};
}

}  // namespace

attempt_registry::attempt_registry(attempt_registry_settings settings)
    : settings(settings) {}

admission_decision attempt_registry::check(const attempt_id& id,
                                           time_point permit_end,
                                           time_point now) const {
  const auto found = this->entries.find(id);
  if (found != this->entries.end()) return decide_on_known(found->second.state);
  if (permit_end <= this->evicted_until) {
    return {.code = result_code::permit_ended, .ran = ran_state::unknown};
  }
  if (permit_end <= now) return refuse(result_code::permit_ended);
  if (permit_end > now + this->settings.max_permit_duration) {
    return refuse(result_code::bad_header);
  }
  if (!this->has_capacity(now)) return refuse(result_code::server_busy);
  return {};
}

admission_decision attempt_registry::begin(const attempt_id& id,
                                           time_point permit_end,
                                           time_point now) {
  const admission_decision decision = this->check(id, permit_end, now);
  if (decision.code != result_code::ok) return decision;
  this->evict_if_full();
  this->insert(id, {attempt_state::running, permit_end});
  return decision;
}

void attempt_registry::end(const attempt_id& id, bool is_complete) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return;
  if (found->second.state != attempt_state::running) return;
  found->second.state =
      is_complete ? attempt_state::ended : attempt_state::broken;
  this->not_running.emplace(found->second.permit_end, id);
}

attempt_state attempt_registry::state_of(const attempt_id& id,
                                         time_point permit_end) const {
  const auto found = this->entries.find(id);
  if (found != this->entries.end()) return found->second.state;
  if (permit_end <= this->evicted_until) return attempt_state::forgotten;
  return attempt_state::never_ran;
}

attempt_state attempt_registry::tombstone(const attempt_id& id,
                                          time_point permit_end,
                                          time_point now) {
  const attempt_state known = this->state_of(id, permit_end);
  if (known != attempt_state::never_ran) return known;
  if (this->entries.contains(id)) return known;
  // An attempt whose permit has ended can't run and needs no tombstone.
  if (permit_end <= now) return attempt_state::never_ran;
  if (permit_end > now + this->settings.max_permit_duration) {
    return attempt_state::forgotten;
  }
  if (!this->has_capacity(now)) return attempt_state::forgotten;
  this->evict_if_full();
  this->insert(id, {attempt_state::never_ran, permit_end});
  return attempt_state::never_ran;
}

void attempt_registry::remove_expired(time_point now) {
  while (!this->not_running.empty() &&
         this->not_running.begin()->first + this->settings.retention <= now) {
    this->evict_oldest();
  }
}

bool attempt_registry::has_capacity(time_point now) const {
  if (this->entries.size() < this->settings.max_attempts) return true;
  // Only an id whose permit has ended may be evicted early: a copy of any
  // other could still arrive and run a second time.
  return !this->not_running.empty() && this->not_running.begin()->first <= now;
}

void attempt_registry::evict_if_full() {
  if (this->entries.size() >= this->settings.max_attempts) this->evict_oldest();
}

void attempt_registry::insert(const attempt_id& id, entry item) {
  if (item.state != attempt_state::running) {
    this->not_running.emplace(item.permit_end, id);
  }
  this->entries.emplace(id, item);
}

void attempt_registry::evict_oldest() {
  const auto oldest = this->not_running.begin();
  this->evicted_until = std::max(this->evicted_until, oldest->first);
  this->entries.erase(oldest->second);
  this->not_running.erase(oldest);
}

}  // namespace boragehill::decide
