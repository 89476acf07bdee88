#ifndef BORAGEHILL_DECIDE_PLANNED_WORKER_HPP
#define BORAGEHILL_DECIDE_PLANNED_WORKER_HPP

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/planned_load.hpp"
#include "decide/residency_target.hpp"
#include "fleet/model.hpp"
#include "fleet/server.hpp"
#include "fleet/worker_report.hpp"

namespace boragehill::decide {

/// A model worker as the planner sees it.
struct planned_worker {
  fleet::server entry;
  /// When the worker first appeared in the server list.
  time_point listed;
  /// The last report of its agent, and when it was received.
  std::optional<fleet::worker_report> report;
  time_point reported;
  residency_target target;
  std::optional<planned_load> pending;
  /// When a router last reported the worker as unresponsive.
  std::optional<time_point> told_silent;
  /// Models with a local copy; true if the copy is in main memory, false if it
  /// is on disk.
  std::unordered_map<std::string, bool> copies;
  /// True if the routers with requests in flight there receive nothing from it.
  /// This and the following members are recomputed in each step, except
  /// `resident_since`.
  bool silent = false;
  /// Free accelerator memory in megabytes.
  double room_mb = 0;
  /// Models that may be evicted, with their eviction cost in seconds, in
  /// ascending order of cost.
  std::vector<std::pair<double, std::string>> droppable;
  /// When each resident model was first reported.
  std::map<std::string, time_point> since;
  /// In-flight requests of all routers, by model and by "model/adapter".
  std::map<std::string, int> flights;
  int requests = 0;

  bool operator==(const planned_worker&) const = default;

  /// \return True if the server list or its own report says that it is
  ///     draining.
  bool leaves() const {
    return this->entry.draining || (this->report && this->report->leaving);
  }

  /// \return True if the model is loaded and is in the target.
  bool serves(const std::string& model) const;

  /// \return True if the model is in the target, loaded or not.
  bool meant_for(const std::string& model) const;

  /// \return Time to load the model here when nothing else is loading: from
  ///     main memory, from disk or from the store.
  milliseconds load_time(const fleet::model& model) const;

  /// \return True if a load from the store was planned and has not finished.
  bool loads_from_store() const {
    return this->pending && this->pending->from_store;
  }
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PLANNED_WORKER_HPP
