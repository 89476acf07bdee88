#include "decide/wait_limit.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// Timeouts of a platform's callers: the minimum, and the multiples of the
/// latency objectives.
constexpr milliseconds least_patience{2000};
constexpr int objectives_borne = 4;
constexpr int gaps_borne = 8;
/// From sending a request to its first event: the network round trip and the
/// processing of the prompt.
constexpr milliseconds start_needs{150};
/// Added so that a retry doesn't arrive just before the load has finished.
constexpr milliseconds retry_slack{100};
/// Used if the time at which the model will be loaded is unknown.
constexpr milliseconds unknown_retry{1000};
/// Used if no server is left. A crashed one restarts, or a new one is listed,
/// within seconds; a caller retries only once, so the earliest moment would be
/// too soon.
constexpr milliseconds new_server_retry{1000};

}  // namespace

milliseconds patience_of(const wait_case& waiting) {
  const auto whole = waiting.waited + waiting.left;
  if (!waiting.stream) return whole;
  const auto borne =
      std::max({least_patience, waiting.objective * objectives_borne,
                waiting.gap_objective * gaps_borne});
  return std::min(whole, borne);
}

std::optional<milliseconds> refuse_waiting_now(const wait_case& waiting) {
  if (!waiting.has_server) return new_server_retry;
  const auto remaining = patience_of(waiting) - waiting.waited - start_needs;
  if (remaining <= milliseconds(0)) {
    return waiting.ready_in.value_or(unknown_retry) + retry_slack;
  }
  if (!waiting.ready_in || *waiting.ready_in <= remaining) return std::nullopt;
  return *waiting.ready_in + retry_slack;
}

}  // namespace boragehill::decide
