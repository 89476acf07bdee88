#include "decide/hedge_schedule.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// \return Random delay between half of the longest one and all of it, so that
///     processes that lost the store at the same time don't retry at the same
///     time.
milliseconds spread(milliseconds longest, std::uint64_t random_bits) {
  const auto half = longest / 2;
  const auto choices = static_cast<std::uint64_t>(half.count()) + 1;
  return half + milliseconds(random_bits % choices);
}

}  // namespace

void hedge_schedule::on_request_sent(time_point now, milliseconds wait) {
  this->hedges = 0;
  this->failures = 0;
  this->attempt_interval = std::max(this->settings.attempt_interval, wait / 2);
  this->next_attempt = now + wait + this->settings.overdue_delay;
}

void hedge_schedule::on_hedge_sent(time_point now, std::uint64_t random_bits) {
  ++this->hedges;
  this->next_attempt = now + spread(this->attempt_interval, random_bits);
}

void hedge_schedule::on_attempt_failed(time_point now,
                                       std::uint64_t random_bits) {
  ++this->failures;
  const bool first = this->failures == 1 && this->hedges == 0;
  const auto longest =
      first ? this->settings.first_retry_delay : this->attempt_interval;
  this->next_attempt =
      std::min(this->next_attempt, now + spread(longest, random_bits));
}

bool hedge_schedule::is_store_lost() const {
  return this->failures > 0 || this->hedges > 1;
}

}  // namespace boragehill::decide
