#include "decide/response_time_estimate.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace boragehill::decide {

void response_time_estimate::on_call(milliseconds total_time, time_point now) {
  this->advance_window(now);
  this->current_slowest_call = std::max(this->current_slowest_call, total_time);
}

void response_time_estimate::on_response(int max_tokens,
                                         milliseconds stream_time,
                                         time_point now) {
  if (max_tokens <= 0) return;
  this->advance_window(now);
  const ms_per_token measured = static_cast<double>(stream_time.count()) /
                                std::max(max_tokens, min_counted_tokens);
  this->current_slowest = std::max(this->current_slowest, measured);
}

void response_time_estimate::advance_window(time_point now) {
  if (!this->window_start || now >= *this->window_start + 2 * window) {
    this->previous_slowest = 0;
    this->current_slowest = 0;
    this->previous_slowest_call = milliseconds(0);
    this->current_slowest_call = milliseconds(0);
    this->window_start = now;
  } else if (now >= *this->window_start + window) {
    this->previous_slowest = std::exchange(this->current_slowest, 0);
    this->previous_slowest_call =
        std::exchange(this->current_slowest_call, milliseconds(0));
    this->window_start = *this->window_start + window;
  }
}

bool response_time_estimate::is_recent(time_point now) const {
  return this->window_start && now < *this->window_start + 2 * window;
}

milliseconds response_time_estimate::max_response_time(int tokens,
                                                       time_point now) const {
  const auto max_ms = static_cast<double>(max_generation_time.count());
  if (tokens <= 0) {
    if (!this->is_recent(now)) return base_time;
    const auto slowest =
        std::max(this->current_slowest_call, this->previous_slowest_call);
    const double call_ms = static_cast<double>(slowest.count()) * headroom;
    const milliseconds call_time(
        static_cast<std::int64_t>(std::min(call_ms, max_ms)));
    return std::max(base_time, call_time);
  }
  ms_per_token time_per_token = default_time_per_token;
  if (this->is_recent(now)) {
    const ms_per_token slowest =
        std::max(this->current_slowest, this->previous_slowest);
    time_per_token = std::max(time_per_token, slowest * headroom);
  }
  const double estimate_ms = time_per_token * tokens;
  return base_time +
         milliseconds(static_cast<std::int64_t>(std::min(estimate_ms, max_ms)));
}

}  // namespace boragehill::decide
