#include "decide/wait_limit.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// Timeouts of the platform's callers: the minimum, and the multiples of the
/// latency objectives.
constexpr milliseconds min_caller_timeout{2000};
constexpr int tolerated_objectives = 4;
constexpr int tolerated_gaps = 8;
/// From sending a request to its first event: the network round trip and the
/// processing of the prompt.
constexpr milliseconds first_event_time{150};
/// At most this part of a latency objective is reserved for the first event.
constexpr int reserved_objective_divisor = 4;
/// Added so that a retry doesn't arrive just before the load has finished.
constexpr milliseconds retry_margin{100};
/// Used if the time at which the model will be loaded is unknown.
constexpr milliseconds default_retry_after{1000};
/// Used if no server is left. A crashed one restarts, or a new one is listed,
/// within seconds; a caller retries only once, so the earliest moment would be
/// too soon.
constexpr milliseconds no_server_retry_after{1000};

}  // namespace

milliseconds caller_timeout(const wait_state& request) {
  const auto time_limit = request.waited + request.remaining;
  if (!request.is_stream) return time_limit;
  const auto tolerated = std::max(
      {min_caller_timeout, request.first_event_objective * tolerated_objectives,
       request.gap_objective * tolerated_gaps});
  return std::min(time_limit, tolerated);
}

bool is_late(milliseconds waited, milliseconds objective) {
  if (objective <= milliseconds(0)) return false;
  const auto reserved =
      std::min(first_event_time, objective / reserved_objective_divisor);
  return waited > objective - reserved;
}

std::optional<milliseconds> retry_after_if_rejected(const wait_state& request) {
  if (!request.has_server) return no_server_retry_after;
  const auto remaining =
      caller_timeout(request) - request.waited - first_event_time;
  if (remaining <= milliseconds(0)) {
    return request.ready_in.value_or(default_retry_after) + retry_margin;
  }
  if (!request.ready_in || *request.ready_in <= remaining) return std::nullopt;
  return *request.ready_in + retry_margin;
}

}  // namespace boragehill::decide
