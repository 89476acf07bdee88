#include "decide/wait_limit.hpp"

#include <algorithm>

namespace boragehill::decide {

namespace {

/// What a platform's callers bear at the least, and in multiples of the
/// objectives.
constexpr milliseconds least_patience{2000};
constexpr int objectives_borne = 4;
constexpr int gaps_borne = 8;
/// From a send to the first event: the way there and back, and the prompt.
constexpr milliseconds start_needs{150};
/// So that the caller that comes back meets the model, not its last moments
/// of loading.
constexpr milliseconds retry_slack{100};
/// Where nobody knows when the model will be there.
constexpr milliseconds unknown_retry{1000};
/// Where no server is left. A crashed one is back, or a new one is listed,
/// within seconds; a caller comes back once, so not at the first moment.
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
