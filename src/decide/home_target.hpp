#ifndef BORAGEHILL_DECIDE_HOME_TARGET_HPP
#define BORAGEHILL_DECIDE_HOME_TARGET_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decide/decision_note.hpp"
#include "decide/model_spec.hpp"
#include "decide/pending_load.hpp"
#include "decide/running_mean.hpp"
#include "decide/waiting_request.hpp"

namespace boragehill::decide {

/// The state that a home keeps for one model or pool.
struct home_target {
  explicit home_target(std::string target_name, milliseconds initial_run_time)
      : name(std::move(target_name)), mean_run_time(initial_run_time) {}

  /// "model:<base>" or "pool:<name>".
  std::string name;
  /// Set for a model that is listed in a profile in force.
  std::optional<model_spec> spec;
  std::set<waiting_request, by_deadline> queue;
  /// Backend servers that hold a grant; for a pool, its members.
  std::vector<std::string> servers;
  /// When each server was added to `servers`.
  std::map<std::string, time_point> server_added_at;
  /// Whether `servers` was read from the table or the VM list at least once.
  bool has_server_list = false;
  std::vector<pending_load> pending_loads;
  running_mean mean_run_time;
  time_point last_arrival_at;
  /// The number of grants last requested; 0 once they are granted. Keeps a
  /// burst of requests from requesting them repeatedly.
  std::uint32_t wanted_grants = 0;
  time_point grants_requested_at;
  std::deque<decision_note> notes;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_HOME_TARGET_HPP
