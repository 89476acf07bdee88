#include "decide/answer_pace.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace boragehill::decide {

void answer_pace::on_answer(int most_tokens, milliseconds streamed,
                            time_point now) {
  if (most_tokens <= 0) return;
  this->turn(now);
  const pace seen = static_cast<double>(streamed.count()) /
                    std::max(most_tokens, fewest_tokens);
  this->slowest = std::max(this->slowest, seen);
}

void answer_pace::turn(time_point now) {
  if (!this->began || now >= *this->began + 2 * window) {
    this->slowest_before = 0;
    this->slowest = 0;
    this->began = now;
  } else if (now >= *this->began + window) {
    this->slowest_before = std::exchange(this->slowest, 0);
    this->began = *this->began + window;
  }
}

milliseconds answer_pace::most_time(int tokens, time_point now) const {
  pace each = usual;
  if (this->began && now < *this->began + 2 * window) {
    const pace seen = std::max(this->slowest, this->slowest_before);
    each = std::max(each, seen * headroom);
  }
  const double ms = each * std::max(tokens, 0);
  const auto most = static_cast<double>(longest.count());
  return start_needs +
         milliseconds(static_cast<std::int64_t>(std::min(ms, most)));
}

}  // namespace boragehill::decide
