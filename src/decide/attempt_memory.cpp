#include "decide/attempt_memory.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

constexpr admission_verdict refused(result_code code) {
  return {.code = code, .ran = ran_state::no};
}

admission_verdict verdict_on_seen(attempt_state state) {
  if (state == attempt_state::never_ran) {
    return refused(result_code::attempt_tombstoned);
  }
  return {.code = result_code::attempt_seen, .ran = ran_state::unknown};
}

}  // namespace

attempt_memory::attempt_memory(attempt_memory_settings settings)
    : settings(settings) {}

admission_verdict attempt_memory::check(const attempt_id& id,
                                        time_point permit_end,
                                        time_point now) const {
  const auto found = this->entries.find(id);
  if (found != this->entries.end()) return verdict_on_seen(found->second.state);
  if (permit_end <= this->forgotten_to) {
    return {.code = result_code::permit_ended, .ran = ran_state::unknown};
  }
  if (permit_end <= now) return refused(result_code::permit_ended);
  if (permit_end > now + this->settings.longest_permit) {
    return refused(result_code::bad_header);
  }
  if (!this->has_room(now)) return refused(result_code::server_busy);
  return {};
}

admission_verdict attempt_memory::begin(const attempt_id& id,
                                        time_point permit_end, time_point now) {
  const admission_verdict verdict = this->check(id, permit_end, now);
  if (verdict.code != result_code::ok) return verdict;
  this->make_room();
  this->insert(id, {attempt_state::running, permit_end});
  return verdict;
}

void attempt_memory::end(const attempt_id& id, bool whole) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return;
  if (found->second.state != attempt_state::running) return;
  found->second.state = whole ? attempt_state::ended : attempt_state::broken;
  this->at_rest.emplace(found->second.permit_end, id);
}

attempt_state attempt_memory::state_of(const attempt_id& id,
                                       time_point permit_end) const {
  const auto found = this->entries.find(id);
  if (found != this->entries.end()) return found->second.state;
  if (permit_end <= this->forgotten_to) return attempt_state::forgotten;
  return attempt_state::never_ran;
}

attempt_state attempt_memory::tombstone(const attempt_id& id,
                                        time_point permit_end, time_point now) {
  const attempt_state known = this->state_of(id, permit_end);
  if (known != attempt_state::never_ran) return known;
  if (this->entries.contains(id)) return known;
  // An attempt whose permit has ended can't run and needs no tombstone.
  if (permit_end <= now) return attempt_state::never_ran;
  if (permit_end > now + this->settings.longest_permit) {
    return attempt_state::forgotten;
  }
  if (!this->has_room(now)) return attempt_state::forgotten;
  this->make_room();
  this->insert(id, {attempt_state::never_ran, permit_end});
  return attempt_state::never_ran;
}

void attempt_memory::tick(time_point now) {
  while (!this->at_rest.empty() &&
         this->at_rest.begin()->first + this->settings.retention <= now) {
    this->forget_oldest();
  }
}

bool attempt_memory::has_room(time_point now) const {
  if (this->entries.size() < this->settings.most) return true;
  // Only an id whose permit has ended may be evicted early: a copy of any
  // other could still arrive and run a second time.
  return !this->at_rest.empty() && this->at_rest.begin()->first <= now;
}

void attempt_memory::make_room() {
  if (this->entries.size() >= this->settings.most) this->forget_oldest();
}

void attempt_memory::insert(const attempt_id& id, entry item) {
  if (item.state != attempt_state::running) {
    this->at_rest.emplace(item.permit_end, id);
  }
  this->entries.emplace(id, item);
}

void attempt_memory::forget_oldest() {
  const auto oldest = this->at_rest.begin();
  this->forgotten_to = std::max(this->forgotten_to, oldest->first);
  this->entries.erase(oldest->second);
  this->at_rest.erase(oldest);
}

}  // namespace boragehill::decide
