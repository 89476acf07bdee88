#include "decide/admission.hpp"

namespace boragehill::decide {

admission::admission(attempt_registry_settings settings) : registry(settings) {}

admission_decision admission::decide(const attempt_offer& offer,
                                     result_code target, time_point now) {
  // A different fencing number belongs to a permit of an earlier incarnation,
  // whose attempts are not known here. The attempt is still refused as not run:
  // an attempt is sent once, on a connection of its own, so one that arrived
  // here did not reach an earlier incarnation.
  if (this->own_fencing_number == 0 ||
      offer.fence != this->own_fencing_number) {
    return {.code = result_code::wrong_incarnation};
  }
  const auto decision = this->registry.check(offer.id, offer.permit_end, now);
  if (decision.code != result_code::ok) return decision;
  if (this->is_draining) return {.code = result_code::draining};
  if (target != result_code::ok) return {.code = target};
  if (!this->try_start(offer, now)) return {.code = result_code::server_busy};
  ++this->running_count;
  if (offer.exclusive) this->exclusive_attempt = offer.id;
  return this->registry.begin(offer.id, offer.permit_end, now);
}

bool admission::try_start(const attempt_offer& offer, time_point now) {
  if (this->running_count >= this->slot_count) return false;
  if (this->exclusive_attempt) return false;
  if (!offer.exclusive) return now >= this->reserved_until;
  if (this->running_count == 0) {
    this->reserved_until = now;
    return true;
  }
  this->reserved_until = now + exclusive_reservation;
  return false;
}

void admission::end(const attempt_id& id, bool is_complete) {
  if (this->registry.state_of(id, time_point::max()) !=
      attempt_state::running) {
    return;
  }
  this->registry.end(id, is_complete);
  --this->running_count;
  if (this->exclusive_attempt == id) this->exclusive_attempt.reset();
}

attempt_state admission::state_of(const attempt_offer& offer) const {
  if (offer.fence != this->own_fencing_number) return attempt_state::forgotten;
  return this->registry.state_of(offer.id, offer.permit_end);
}

attempt_state admission::tombstone(const attempt_offer& offer, time_point now) {
  if (offer.fence != this->own_fencing_number) return attempt_state::forgotten;
  return this->registry.tombstone(offer.id, offer.permit_end, now);
}

}  // namespace boragehill::decide
