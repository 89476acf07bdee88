#include "decide/response_progress.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// Lower bound of the stall timeout between two pieces of data: the first time
/// plus the second divided by the number of streams. Each step takes 70 ms
/// while a long prompt is processed, and an event holds the tokens of several
/// steps, so a single stream may have no event for several steps. Several
/// streams are at different tokens of their events, so one has an event at each
/// step. A router that has used up its CPU quota pauses for 80 ms.
constexpr milliseconds min_stream_gap{90};
constexpr milliseconds single_stream_gap{150};
/// Lower bound of the stall timeout before the first byte: some round trips
/// and a short queue.
constexpr milliseconds min_first_byte_timeout{250};
/// Far above the 0.03 ms that a worker needs to process a prompt token.
constexpr double ms_per_prompt_token = 0.1;
/// Upper bound, without the time to process prompts, even for a server that is
/// usually slow: callers give up after 2 s.
constexpr milliseconds max_stall_timeout{1000};

}  // namespace

void response_progress::on_sent(int prompt_tokens, time_point now) {
  if (this->awaited_responses() == 0) this->observing_since = now;
  ++this->unstarted;
  this->backlog_tokens += prompt_tokens;
}

void response_progress::on_response_started(int prompt_tokens, time_point now) {
  const auto gap =
      std::chrono::duration_cast<milliseconds>(now - this->waiting_since());
  if (this->started == 0 && gap <= max_stall_timeout) {
    this->first_byte_times.add(gap);
  }
  this->on_unstarted_request_removed(prompt_tokens);
  ++this->started;
  this->last_data = now;
}

void response_progress::on_data(time_point now) {
  const auto gap =
      std::chrono::duration_cast<milliseconds>(now - this->waiting_since());
  this->last_data = now;
  // A stall that has ended must not raise the estimate of the usual gap.
  if (gap <= max_stall_timeout) this->data_gaps.add(gap);
}

void response_progress::on_started_request_removed() {
  this->started = std::max(this->started - 1, 0);
}

void response_progress::on_unstarted_request_removed(int prompt_tokens) {
  this->unstarted = std::max(this->unstarted - 1, 0);
  this->backlog_tokens = std::max(this->backlog_tokens - prompt_tokens, 0);
}

void response_progress::on_read_resumed(time_point now) {
  this->read_paused = std::max(this->read_paused - 1, 0);
  this->observing_since = now;
}

milliseconds response_progress::stall_timeout() const {
  if (this->started > this->read_paused) {
    const auto min_timeout =
        min_stream_gap +
        single_stream_gap / (this->started - this->read_paused);
    return std::clamp(this->data_gaps.upper_bound(), min_timeout,
                      max_stall_timeout);
  }
  const auto prompt_time = milliseconds(static_cast<std::int64_t>(
      ms_per_prompt_token * static_cast<double>(this->backlog_tokens)));
  return std::clamp(this->first_byte_times.upper_bound(),
                    min_first_byte_timeout, max_stall_timeout) +
         prompt_time;
}

bool response_progress::is_stalled(time_point now) const {
  return this->awaited_responses() > 0 &&
         now - this->waiting_since() > this->stall_timeout();
}

}  // namespace boragehill::decide
