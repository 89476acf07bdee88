#ifndef BORAGEHILL_DECIDE_PLANNER_SETTINGS_HPP
#define BORAGEHILL_DECIDE_PLANNER_SETTINGS_HPP

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Limits of the residency planner.
struct planner_settings {
  /// Concurrent loads from the weight store until measured load times show how
  /// many it serves at full speed. Two loads show whether it serves more than
  /// one; if it does not, this costs the time of a second load.
  int initial_store_loads = 2;
  /// A model with fewer requests per replica is not scaled out: below this, a
  /// batch step of a worker takes hardly longer than on an idle worker.
  double requests_per_replica = 6;
  /// A model with fewer requests per replica is not scaled out either when its
  /// workers are busy with other models.
  double min_requests_per_replica = 2;
  /// Requests per slot at the workers that hold a model, above which the model
  /// is scaled out: a short batch fills up with few requests of each model.
  double max_holder_utilization = 0.5;
  /// A replica may be evicted at no cost while the remaining ones get at most
  /// this many requests per slot, since each worker holds several models.
  double max_kept_utilization = 0.25;
  /// A further replica is placed only on a worker whose load is below this
  /// fraction of the load of the workers that have the model.
  double scale_out_load_ratio = 0.6;
  /// When requests wait this long for a loaded model, its replicas have no
  /// capacity for them, and it gets a further replica even from the store.
  /// Requests that wait for an adapter instead are not affected: adapters load
  /// within a few hundredths of a second.
  milliseconds starvation_wait{300};
  /// A new planner learns the demand only after a short time; until then only
  /// the most requested models are loaded from the store.
  milliseconds observation_period{1000};
  /// A model that was just loaded stays at least this long, so that the
  /// requests waiting for it reach it.
  milliseconds min_residency{1000};
  /// Reports older than this are not used, and the worker gets no orders.
  milliseconds report_max_age{1500};
  /// A router reports an unresponsive worker ten times per second; reports
  /// older than this are ignored.
  milliseconds unresponsive_report_max_age{500};
  /// For this long after a planner starts or a worker appears, loads from the
  /// store wait for workers that have not reported yet: they may have a copy on
  /// disk, and the store takes several times as long.
  milliseconds first_report_timeout{600};
  /// Minimum waiting time in seconds that a load into free memory must save:
  /// about one request in two minutes that would otherwise wait for a load from
  /// disk.
  double min_preload_gain_seconds = 0.05;
  /// A loaded model counts as idle if its eviction cost is below this, in
  /// seconds: about one request in fifty seconds that would wait for the disk.
  /// Models without a local copy are prefetched in place of idle models; 0
  /// disables this.
  double max_idle_eviction_cost_seconds = 0.2;
  /// A load is given up when it takes longer than its expected time multiplied
  /// by this factor, plus 3 s.
  int give_up_factor = 4;

  bool operator==(const planner_settings&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PLANNER_SETTINGS_HPP
