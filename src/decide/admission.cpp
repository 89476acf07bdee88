#include "decide/admission.hpp"

namespace boragehill::decide {

admission::admission(attempt_memory_settings settings) : memory(settings) {}

admission_verdict admission::decide(const attempt_offer& offer,
                                    result_code target, time_point now) {
  // A different fencing number belongs to a permit of an earlier incarnation,
  // whose attempts are not known here. The attempt is still refused as not run:
  // an attempt is sent once, on a connection of its own, so one that arrived
  // here did not reach an earlier incarnation.
  if (this->own_fence == 0 || offer.fence != this->own_fence) {
    return {.code = result_code::wrong_incarnation};
  }
  const auto verdict = this->memory.check(offer.id, offer.permit_end, now);
  if (verdict.code != result_code::ok) return verdict;
  if (this->is_draining) return {.code = result_code::draining};
  if (target != result_code::ok) return {.code = target};
  if (!this->may_begin(offer, now)) return {.code = result_code::server_busy};
  ++this->running_count;
  if (offer.exclusive) this->alone = offer.id;
  return this->memory.begin(offer.id, offer.permit_end, now);
}

bool admission::may_begin(const attempt_offer& offer, time_point now) {
  if (this->running_count >= this->slot_count) return false;
  if (this->alone) return false;
  if (!offer.exclusive) return now >= this->held_until;
  if (this->running_count == 0) {
    this->held_until = now;
    return true;
  }
  this->held_until = now + exclusive_hold;
  return false;
}

void admission::end(const attempt_id& id, bool whole) {
  if (this->memory.state_of(id, time_point::max()) != attempt_state::running) {
    return;
  }
  this->memory.end(id, whole);
  --this->running_count;
  if (this->alone == id) this->alone.reset();
}

attempt_state admission::state_of(const attempt_offer& asked) const {
  if (asked.fence != this->own_fence) return attempt_state::forgotten;
  return this->memory.state_of(asked.id, asked.permit_end);
}

attempt_state admission::tombstone(const attempt_offer& asked, time_point now) {
  if (asked.fence != this->own_fence) return attempt_state::forgotten;
  return this->memory.tombstone(asked.id, asked.permit_end, now);
}

}  // namespace boragehill::decide
