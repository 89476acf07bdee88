#include "decide/ask_again.hpp"

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

void ask_again::begin(time_point now, milliseconds wait) {
  this->repeats = 0;
  this->failures = 0;
  this->between = std::max(this->settings.between, wait / 2);
  this->next_attempt = now + wait + this->settings.overdue;
}

void ask_again::on_repeated(time_point now, std::uint64_t random_bits) {
  ++this->repeats;
  this->next_attempt = now + spread(this->between, random_bits);
}

void ask_again::on_failed(time_point now, std::uint64_t random_bits) {
  ++this->failures;
  const bool first = this->failures == 1 && this->repeats == 0;
  const auto longest = first ? this->settings.first_pause : this->between;
  this->next_attempt =
      std::min(this->next_attempt, now + spread(longest, random_bits));
}

bool ask_again::lost() const {
  return this->failures > 0 || this->repeats > 1;
}

}  // namespace boragehill::decide
