#ifndef BORAGEHILL_DECIDE_ROUTER_COUNT_HPP
#define BORAGEHILL_DECIDE_ROUTER_COUNT_HPP

#include <optional>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// The number of routers among which a bound over all of them is divided, as
/// one router knows it from the planner.
///
/// The parts add up to the bound or less if no router divides by too small a
/// number. A planner that has just taken over knows only some of the routers,
/// and one that is cut off counts only those that it reaches. So a larger
/// number holds at once, a smaller one only after the hold time, and without a
/// planner the number expires after the same time.
class router_count {
 public:
  /// \param hold How long a number holds after a smaller one was told, and
  ///     after the planner was lost.
  explicit router_count(milliseconds hold) : hold(hold) {}

  /// The planner told its count, at least 1.
  void on_told(int routers, time_point now);
  void on_planner_lost(time_point now);

  /// \return Nothing if no planner has told a count, or none for too long.
  std::optional<int> value(time_point now) const;
  /// \return The same, however long ago the planner was lost.
  std::optional<int> last_known(time_point now) const;

 private:
  bool is_settled(time_point now) const;

  milliseconds hold;
  std::optional<int> largest;
  /// Since when the planner tells smaller numbers, and the largest of these.
  std::optional<time_point> smaller_since;
  int smaller = 0;
  std::optional<time_point> lost_at;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ROUTER_COUNT_HPP
