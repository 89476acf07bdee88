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
  fleet::server list_entry;
  /// When the worker first appeared in the server list.
  time_point first_listed;
  /// The last report of its agent, and when it was received.
  std::optional<fleet::worker_report> report;
  time_point reported_at;
  residency_target target;
  std::optional<planned_load> pending_load;
  /// When a router last reported the worker as unresponsive.
  std::optional<time_point> reported_unresponsive_at;
  /// Models with a local copy; true if the copy is in main memory, false if it
  /// is on disk.
  std::unordered_map<std::string, bool> local_copies;
  /// True if the routers with requests in flight there receive nothing from it.
  /// Recomputed in each step, like the following members except
  /// `resident_since`.
  bool is_unresponsive = false;
  /// True if it limits the rate of requests; it gets no more models.
  bool is_rate_limited = false;
  /// Free accelerator memory in megabytes.
  double free_memory_mb = 0;
  /// Models that may be evicted, with their eviction cost in seconds, in
  /// ascending order of cost.
  std::vector<std::pair<double, std::string>> eviction_candidates;
  /// When each resident model was first reported.
  std::map<std::string, time_point> resident_since;
  /// In-flight requests of all routers, by model and by "model/adapter".
  std::map<std::string, int> in_flight;
  int total_in_flight = 0;

  bool operator==(const planned_worker&) const = default;

  /// \return True if the server list or its own report says that it is
  ///     draining.
  bool is_draining() const {
    return this->list_entry.draining || (this->report && this->report->leaving);
  }

  /// \param software The version that is asked for; empty for any.
  bool has_software(const std::string& software) const {
    return software.empty() || this->list_entry.software == software;
  }

  /// \return True if the model is loaded and is in the target.
  bool serves(const std::string& model) const;

  /// \return True if the model is in the target, loaded or not.
  bool has_target_model(const std::string& model) const;

  /// \return Time to load the model here when nothing else is loading: from
  ///     main memory, from disk or from the store.
  milliseconds load_time(const fleet::model& model) const;

  /// \return True if a load from the store was planned and has not finished.
  bool is_loading_from_store() const {
    return this->pending_load && this->pending_load->from_store;
  }
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_PLANNED_WORKER_HPP
