#ifndef BORAGEHILL_DECIDE_REQUEST_COUNT_FILTER_HPP
#define BORAGEHILL_DECIDE_REQUEST_COUNT_FILTER_HPP

namespace boragehill::decide {

/// Decides whether a changed number of requests at a worker is reported to the
/// routers.
///
/// With every change reported, the planner of a fleet of 21 routers and 39
/// workers sent over 1 MB/s, more than the links of the smallest VMs carry; its
/// updates then arrived seconds late, and no model was loaded in time.
/// \param reported The number that was reported last.
/// \param current The current number.
inline bool is_significant_change(int reported, int current) {
  // Smaller changes don't affect the choice between workers with dozens of
  // slots.
  constexpr int min_change = 3;
  // The change must be at least a quarter of the reported number.
  constexpr int change_divisor = 4;
  const int change =
      current > reported ? current - reported : reported - current;
  return change >= min_change && change * change_divisor >= reported;
}

/// Decides like `is_significant_change`, and reports each worker that becomes
/// full: routers that don't know it would all send one more request.
/// \param reported The number that was reported last.
/// \param current The current number.
/// \param full_at The number at which the worker takes no more requests.
inline bool is_significant_change(int reported, int current, double full_at) {
  if (current >= full_at && reported < full_at) return true;
  return is_significant_change(reported, current);
}

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_REQUEST_COUNT_FILTER_HPP
