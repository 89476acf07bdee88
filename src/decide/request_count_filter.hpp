#ifndef BORAGEHILL_DECIDE_REQUEST_COUNT_FILTER_HPP
#define BORAGEHILL_DECIDE_REQUEST_COUNT_FILTER_HPP

namespace boragehill::decide {

/// Decides whether a changed number of requests at a worker is reported to the
/// routers.
///
/// With every change reported, the planner of a fleet of 21 routers and 39
/// workers sent over 1 MB/s, more than the links of the smallest VMs carry; its
/// updates then arrived seconds late, and no model was loaded in time.
/// \param told The number that was reported last.
/// \param now The current number.
inline bool is_significant_change(int told, int now) {
  // Smaller changes don't affect the choice between workers with dozens of
  // slots.
  constexpr int least = 3;
  constexpr int part = 4;
  const int change = now > told ? now - told : told - now;
  return change >= least && change * part >= told;
}

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_REQUEST_COUNT_FILTER_HPP
