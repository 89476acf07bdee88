#ifndef BORAGEHILL_DECIDE_ANSWER_PACE_HPP
#define BORAGEHILL_DECIDE_ANSWER_PACE_HPP

#include <optional>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// How long the answers of a service may take, by the slowest of late.
///
/// Workers slow down as they fill, so a time for each token that holds at one
/// load cuts answers off at another.
class answer_pace {
 public:
  /// The time to a generation's first token, and the whole time of a plain
  /// call.
  static constexpr milliseconds start_needs{1000};

  /// A whole answer was passed on.
  /// \param most_tokens The most that it might have had.
  /// \param streamed From its first byte to its end.
  void on_answer(int most_tokens, milliseconds streamed, time_point now);

  /// \return The time from the send to the end of an answer of so many tokens;
  ///     with 0, of a plain call.
  milliseconds most_time(int tokens, time_point now) const;

 private:
  /// Milliseconds a token.
  using pace = double;

  /// Default and lower bound.
  static constexpr pace usual = 9;
  /// A shorter answer counts like one of so many tokens: a stall of its server
  /// says little of long ones.
  static constexpr int fewest_tokens = 30;
  /// Longer times overflow clocks.
  static constexpr milliseconds longest{3600000};
  /// Workers may fill further while an answer is made.
  static constexpr double headroom = 1.5;
  /// A slow answer is remembered for one to two of these.
  static constexpr milliseconds window{10000};

  void turn(time_point now);

  std::optional<time_point> began;
  pace slowest = 0;
  pace slowest_before = 0;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ANSWER_PACE_HPP
