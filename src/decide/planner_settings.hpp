#ifndef BORAGEHILL_DECIDE_PLANNER_SETTINGS_HPP
#define BORAGEHILL_DECIDE_PLANNER_SETTINGS_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Limits of the residency planner.
struct planner_settings {
  /// Loads from the weight store at once until their times have shown how many
  /// it serves at full speed. Two tell one from more, at the price of a second
  /// load's time if it serves only one.
  int store_loads = 2;
  /// A model with fewer requests a replica gets no further replica: below it a
  /// worker's steps take nearly as long as when it is empty.
  double requests_per_replica = 6;
  /// A further replica goes only to a worker with less than this part of the
  /// load of those that have the model.
  double relief = 0.6;
  /// Requests that wait so long for a model that stands somewhere find no room
  /// there: it gets a further replica even from the store. Adapters, which they
  /// may wait for instead, come within a few hundredths of a second.
  milliseconds starved{300};
  /// A planner that just began knows who asks for what only after a while;
  /// until then it uses the store for what is asked for most only.
  milliseconds observe{1000};
  /// A model that was just loaded stays at least so long, so that the requests
  /// that wait for it reach it.
  milliseconds settle{1000};
  /// Reports older than this say nothing of a worker: it gets no orders.
  milliseconds report_trust{1500};
  /// A router that hears nothing of a worker says so ten times a second; older
  /// word of it doesn't count.
  milliseconds silence_trust{500};
  /// So long after a planner began, or a worker appeared, a load from the store
  /// waits for workers that haven't reported yet: they may have a copy on
  /// disk, and the store takes several times as long.
  milliseconds acquaint{600};
  /// Seconds of waiting that a load into a free place saves at the least: about
  /// one request in two minutes that would find its model there a disk's load
  /// earlier.
  double stock_gain = 0.05;
  /// A place counts as idle if losing what stands there costs less waiting than
  /// this, in seconds: about one request in fifty seconds that would wait for
  /// the disk. Models without a copy are brought into such places ahead of
  /// need; with 0, none are.
  double idle_loss = 0.2;
  /// A load that takes this many times as long as it should is given up.
  int patience = 4;

  bool operator==(const planner_settings&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PLANNER_SETTINGS_HPP
