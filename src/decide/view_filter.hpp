#ifndef BORAGEHILL_DECIDE_VIEW_FILTER_HPP
#define BORAGEHILL_DECIDE_VIEW_FILTER_HPP

namespace boragehill::decide {

/// Tells whether routers need to hear of a changed number of requests at a
/// worker.
///
/// Told of every change, the planner of a fleet of 21 routers and 39 workers
/// sent over a megabyte a second, more than the links of the smallest machines
/// carry; its news then came seconds late, and no model was woken in time.
/// \param told The number that was told last.
/// \param now The number as it is.
inline bool worth_telling(int told, int now) {
  // Less than this changes no choice between workers of some dozen slots.
  constexpr int least = 3;
  constexpr int part = 4;
  const int change = now > told ? now - told : told - now;
  return change >= least && change * part >= told;
}

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_VIEW_FILTER_HPP
