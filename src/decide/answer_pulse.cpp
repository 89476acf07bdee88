#include "decide/answer_pulse.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// Lower bound of the stall timeout between two pieces of data. While a long
/// prompt is processed each step takes 70 ms, and an event holds the tokens of
/// several steps. A single stream may therefore have no event for several
/// steps, while several streams are at different tokens of their events and
/// have one at each step. A router that has used up its CPU quota pauses for
/// 80 ms.
constexpr milliseconds least_pause{90};
constexpr milliseconds pause_of_one{150};
/// Lower bound of the stall timeout before the first byte: some round trips
/// and a short queue.
constexpr milliseconds least_first{250};
/// Far above the 0.03 ms that a worker needs to process a prompt token.
constexpr double ms_per_token = 0.1;
/// Upper bound, however slow the server usually is: callers give up after 2 s.
constexpr milliseconds most_bearable{1000};

}  // namespace

void answer_pulse::on_sent(int tokens, time_point now) {
  if (this->awaited() == 0) this->listened_since = now;
  ++this->unbegun;
  this->unread_tokens += tokens;
}

void answer_pulse::on_begun(int tokens, time_point now) {
  const auto pause =
      std::chrono::duration_cast<milliseconds>(now - this->silent_since());
  if (this->begun == 0 && pause <= most_bearable) this->first_pieces.add(pause);
  this->on_unbegun_left(tokens);
  ++this->begun;
  this->heard = now;
}

void answer_pulse::on_heard(time_point now) {
  const auto pause =
      std::chrono::duration_cast<milliseconds>(now - this->silent_since());
  this->heard = now;
  // A stall that has ended must not raise the estimate of the usual gap.
  if (pause <= most_bearable) this->pauses.add(pause);
}

void answer_pulse::on_begun_left() {
  this->begun = std::max(this->begun - 1, 0);
}

void answer_pulse::on_unbegun_left(int tokens) {
  this->unbegun = std::max(this->unbegun - 1, 0);
  this->unread_tokens = std::max(this->unread_tokens - tokens, 0);
}

void answer_pulse::on_resumed(time_point now) {
  this->held_up = std::max(this->held_up - 1, 0);
  this->listened_since = now;
}

milliseconds answer_pulse::bearable() const {
  if (this->begun > this->held_up) {
    const auto least =
        least_pause + pause_of_one / (this->begun - this->held_up);
    return std::clamp(this->pauses.nearly_all(), least, most_bearable);
  }
  const auto reading = milliseconds(static_cast<std::int64_t>(
      ms_per_token * static_cast<double>(this->unread_tokens)));
  return std::clamp(this->first_pieces.nearly_all(), least_first,
                    most_bearable) +
         reading;
}

bool answer_pulse::overdue(time_point now) const {
  return this->awaited() > 0 && now - this->silent_since() > this->bearable();
}

}  // namespace boragehill::decide
