#ifndef BORAGEHILL_DECIDE_RESPONSE_TIME_ESTIMATE_HPP
#define BORAGEHILL_DECIDE_RESPONSE_TIME_ESTIMATE_HPP

#include <optional>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Estimates how long the responses of a service may take, from the slowest
/// recent ones.
///
/// Workers slow down as they fill, so a fixed time per token that holds at one
/// load would cut responses off at another.
class response_time_estimate {
 public:
  /// Time to the first token of a generation, or the least estimate of a plain
  /// call's total time.
  static constexpr milliseconds base_time{1000};

  /// Records a plain call's response that was forwarded completely.
  /// \param total_time Time from sending the request to its end.
  void on_call(milliseconds total_time, time_point now);

  /// Records a response that was forwarded completely.
  /// \param max_tokens The maximum number of tokens that was requested.
  /// \param stream_time Time from its first byte to its end.
  void on_response(int max_tokens, milliseconds stream_time, time_point now);

  /// \param tokens Length of the response; 0 for a plain call.
  /// \return Upper estimate of the time from sending the request to the end of
  ///     the response.
  milliseconds max_response_time(int tokens, time_point now) const;

 private:
  using ms_per_token = double;

  /// Initial value and lower bound of the estimate.
  static constexpr ms_per_token default_time_per_token = 9;
  /// Shorter responses are counted as having this many tokens: a server stall
  /// during a short response says little about long ones.
  static constexpr int min_counted_tokens = 30;
  /// Longer times would overflow clock arithmetic.
  static constexpr milliseconds max_generation_time{3600000};
  /// Workers may fill up further while a response is generated.
  static constexpr double headroom = 1.5;
  /// A slow response counts for the current and the next window.
  static constexpr milliseconds window{10000};

  /// Starts a new window if the current one is over.
  void advance_window(time_point now);
  /// \return True if the windows hold recent responses.
  bool is_recent(time_point now) const;

  std::optional<time_point> window_start;
  ms_per_token current_slowest = 0;
  ms_per_token previous_slowest = 0;
  milliseconds current_slowest_call{0};
  milliseconds previous_slowest_call{0};
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESPONSE_TIME_ESTIMATE_HPP
