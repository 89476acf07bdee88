#include "decide/wait_limit.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// Timeouts of a platform's callers: the minimum, and the multiples of the
/// latency objectives.
constexpr milliseconds min_caller_timeout{2000};
constexpr int tolerated_objectives = 4;
constexpr int tolerated_gaps = 8;
/// From sending a request to its first event: the network round trip and the
/// processing of the prompt.
constexpr milliseconds first_event_time{150};
/// Added so that a retry doesn't arrive just before the load has finished.
constexpr milliseconds retry_margin{100};
/// Used if the time at which the model will be loaded is unknown.
constexpr milliseconds default_retry_after{1000};
/// Used if no server is left. A crashed one restarts, or a new one is listed,
/// within seconds; a caller retries only once, so the earliest moment would be
/// too soon.
constexpr milliseconds no_server_retry_after{1000};

}  // namespace

milliseconds caller_timeout(const wait_state& waiting) {
  const auto whole = waiting.waited + waiting.remaining;
  if (!waiting.is_stream) return whole;
  const auto borne = std::max(
      {min_caller_timeout, waiting.first_event_objective * tolerated_objectives,
       waiting.gap_objective * tolerated_gaps});
  return std::min(whole, borne);
}

std::optional<milliseconds> retry_after_if_rejected(const wait_state& waiting) {
  if (!waiting.has_server) return no_server_retry_after;
  const auto remaining =
      caller_timeout(waiting) - waiting.waited - first_event_time;
  if (remaining <= milliseconds(0)) {
    return waiting.ready_in.value_or(default_retry_after) + retry_margin;
  }
  if (!waiting.ready_in || *waiting.ready_in <= remaining) return std::nullopt;
  return *waiting.ready_in + retry_margin;
}

}  // namespace boragehill::decide
