#include "decide/hedge_schedule.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// \return Random delay between half of the maximum and all of it, so that
///     processes that lost the store at the same time don't retry at the same
///     time.
milliseconds jittered_delay(milliseconds max_delay, std::uint64_t random_bits) {
  const auto half = max_delay / 2;
  const auto choices = static_cast<std::uint64_t>(half.count()) + 1;
  return half + milliseconds(random_bits % choices);
}

}  // namespace

void hedge_schedule::on_request_sent(time_point now, milliseconds hold_time) {
  this->hedges = 0;
  this->failures = 0;
  this->attempt_interval =
      std::max(this->settings.attempt_interval, hold_time / 2);
  this->next_attempt = now + hold_time + this->settings.overdue_delay;
}

void hedge_schedule::on_hedge_sent(time_point now, std::uint64_t random_bits) {
  ++this->hedges;
  this->next_attempt =
      now + jittered_delay(this->attempt_interval, random_bits);
}

void hedge_schedule::on_attempt_failed(time_point now,
                                       std::uint64_t random_bits) {
  ++this->failures;
  const bool is_first_failure = this->failures == 1 && this->hedges == 0;
  const auto max_delay = is_first_failure ? this->settings.first_retry_delay
                                          : this->attempt_interval;
  this->next_attempt = std::min(this->next_attempt,
                                now + jittered_delay(max_delay, random_bits));
}

bool hedge_schedule::is_store_lost() const {
  return this->failures > 0 || this->hedges > 1;
}

}  // namespace boragehill::decide
