#ifndef BORAGEHILL_DECIDE_SLOT_ALLOCATOR_SETTINGS_HPP
#define BORAGEHILL_DECIDE_SLOT_ALLOCATOR_SETTINGS_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Limits of the slot allocator.
struct slot_allocator_settings {
  /// Fraction of its slots by which a worker may be overfilled.
  double queue_share = 0.25;
  /// Slots of one worker that are granted and not confirmed: a worker processes
  /// the prompts of about this many requests between two reports of a router.
  int max_unconfirmed = 4;
  /// An unconfirmed grant counts as unused after this: the router has lost the
  /// planner or is paused.
  milliseconds confirmation_timeout{500};

  bool operator==(const slot_allocator_settings&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SLOT_ALLOCATOR_SETTINGS_HPP
