#include "decide/answer_pulse.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// The least pause between two pieces that may mean something. While a long
/// prompt is read each step takes 70 ms, and an event holds the tokens of some
/// steps: one stream may show nothing for some of them, several show one at
/// each step, as each is at another token of its event. A router that has used
/// up its share of a processor stands still for 80 ms.
constexpr milliseconds least_pause{90};
constexpr milliseconds pause_of_one{150};
/// The least wait for a first piece that may mean something: some round trips
/// and a short queue.
constexpr milliseconds least_first{250};
/// Far above what reading a prompt token takes (0.03 ms).
constexpr double ms_per_token = 0.1;
/// However long answers take here, callers leave after two seconds.
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
  // A silence that is over is no measure of the usual pause.
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
