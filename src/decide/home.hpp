#ifndef BORAGEHILL_DECIDE_HOME_HPP
#define BORAGEHILL_DECIDE_HOME_HPP

#include <array>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <boragehill/attempt_id.hpp>
#include <boragehill/result_code.hpp>
#include <boragehill/time_point.hpp>

#include "decide/crash_attribution.hpp"
#include "decide/home_action.hpp"
#include "decide/home_server.hpp"
#include "decide/home_settings.hpp"
#include "decide/home_target.hpp"
#include "decide/issued_permit.hpp"
#include "wire/attempt_end.hpp"
#include "wire/permit_answer.hpp"
#include "wire/permit_request.hpp"
#include "wire/wake_answer.hpp"

namespace boragehill::decide {

class catalog;

/// Queues and dispatches the requests of the targets (models and pools) whose
/// home, or owner router, this router is, and orders the loads of their models.
///
/// A state machine without I/O. Events come in through the `on_` functions;
/// `take_actions` returns what the router has to carry out. It is safe for two
/// routers to act as home of one target at the same time, since the agents
/// enforce grants, memory limits and at-most-once execution.
///
///     home h(settings, crash_settings);
///     auto response = h.request_permit(request, now);
///     for (auto& action : h.take_actions()) std::visit(run, action);
class home {
 public:
  explicit home(home_settings settings,
                crash_attribution_settings crash_settings);

  /// Requests a permit to run an attempt. Idempotent for one attempt.
  ///
  /// \param request The request; its time left counts from `now`.
  /// \return Granted, queued or refused. A refusal is final for the attempt,
  ///   which was not run.
  wire::permit_answer request_permit(const wire::permit_request& request,
                                     time_point now);

  /// Removes a request whose caller has disconnected, or releases a permit that
  /// the entry router will not use.
  void withdraw(const std::string& attempt, time_point now);

  /// Returns which of an entry router's waiting attempts are unknown here.
  ///
  /// For an attempt that has a permit the notification is repeated, since the
  /// entry router still waits and so did not receive the first one.
  std::vector<std::string> on_renewal(const std::vector<std::string>& attempts);

  /// Handles the end of an attempt and releases its permit.
  void on_attempt_end(const wire::attempt_end& end, time_point now);

  /// Applies an agent's report and dispatches to the slots that it shows free.
  void on_report(const wire::agent_report& report, time_point now);

  /// Handles an agent's response to a load order.
  void on_load_response(const order_load& load,
                        const wire::wake_answer& response, time_point now);

  /// Handles a load that has to wait because the weight store is at its
  /// concurrency limit.
  ///
  /// \param wait Expected time until the load may start.
  void on_load_deferred(const order_load& load, milliseconds wait,
                        time_point now);

  /// Handles a load order that could not be delivered.
  void on_load_order_lost(const order_load& load, time_point now);

  /// Sets the backend servers of a target: those that hold a grant according to
  /// the model's row in the table, or the members of a pool.
  void on_servers(const std::string& target, std::vector<std::string> servers,
                  time_point now);

  /// Marks a server as draining, as the platform or the server itself reported.
  void on_draining(const std::string& server);

  /// Handles a failed call to a server: it gets no new requests for
  /// `server_cooldown`.
  void on_suspected(const std::string& server, time_point now);

  /// Removes the waiting requests of an entry router that was lost.
  void on_entry_lost(const endpoint& entry, time_point now);

  /// Applies the configuration in force.
  void on_catalog(const catalog& published, time_point now);

  /// Quarantines a request that the table or another router reported.
  void on_quarantine(const std::string& fingerprint, time_point now);

  /// Expires permits, refuses requests that can no longer meet their deadline,
  /// and orders the loads that are due.
  void tick(time_point now);

  /// Returns the actions collected since the last call and clears them.
  std::vector<home_action> take_actions();

  /// Returns the target, or null if no request or grant has named it yet.
  const home_target* target(const std::string& name) const;

  const std::map<std::string, home_target>& targets() const {
    return this->known_targets;
  }

  const std::map<std::string, home_server>& servers() const {
    return this->known_servers;
  }

  /// Returns the number of waiting requests of all targets.
  std::size_t waiting() const { return this->waiting_total; }

  /// Returns the number of permits in use, for all targets.
  std::size_t outstanding_permits() const {
    return this->issued_permits.size();
  }

  /// Returns the expected time until a new request for a target would start.
  ///
  /// \param adapter The adapter that the request needs; empty for none.
  milliseconds expected_wait(const std::string& target,
                             const std::string& adapter, time_point now) const;

  const crash_attribution& crash_records() const { return this->crashes; }

 private:
  struct chosen_server {
    std::string id;
    const home_server* server = nullptr;
  };

  home_target& find_or_add_target(const std::string& name);
  wire::permit_answer make_refusal(const wire::permit_request& request,
                                   result_code code, milliseconds retry_after,
                                   const std::string& reason);
  void refuse_waiting(home_target& target,
                      std::set<waiting_request, by_deadline>::iterator at,
                      result_code code, const std::string& reason,
                      time_point now);
  std::set<waiting_request, by_deadline>::iterator erase_waiting(
      home_target& target, std::set<waiting_request, by_deadline>::iterator at);

  void dispatch(home_target& target, time_point now);
  bool try_issue(home_target& target, const waiting_request& waiting,
                 time_point now);
  chosen_server choose_server(const home_target& target,
                              const waiting_request& waiting,
                              time_point now) const;
  const home_server* find_usable_server(const std::string& id,
                                        time_point now) const;
  bool can_run(const home_target& target, const home_server& server,
               const wire::permit_request& request) const;
  std::uint32_t in_flight(const std::string& server) const;
  void issue_permit(home_target& target, const waiting_request& waiting,
                    const chosen_server& chosen, bool exclusive,
                    time_point now);
  void release_permit(const std::string& attempt);

  void schedule_loads(home_target& target, time_point now);
  void drop_finished_loads(home_target& target, time_point now);
  bool is_load_finished(const home_target& target, const pending_load& load,
                        time_point now);
  void load_base_model(home_target& target, time_point now);
  void load_adapters(home_target& target, time_point now);
  void start_load(home_target& target, const std::string& server,
                  const std::string& adapter, time_point now);
  order_load make_load_order(const home_target& target,
                             const pending_load& load, time_point now) const;
  void order_deferred_loads(home_target& target, time_point now);
  std::vector<pending_load>::iterator find_pending_load(home_target& target,
                                                        const order_load& load);
  void request_more_grants(home_target& target, std::uint32_t count,
                           const std::string& reason, time_point now);
  std::uint32_t unresponsive_servers(const home_target& target,
                                     time_point now) const;
  std::uint32_t active_replicas(const home_target& target,
                                time_point now) const;
  std::string choose_server_to_load(const home_target& target,
                                    time_point now) const;
  milliseconds time_to_ready(const home_target& target,
                             const std::string& adapter, time_point now) const;
  bool has_measured_load_time(const home_target& target) const;
  milliseconds load_time(checkpoint_tier tier) const {
    return this->mean_load_times[static_cast<std::size_t>(tier)].value();
  }
  milliseconds queue_time(const home_target& target, std::size_t ahead,
                          time_point now) const;
  void refuse_unreachable(home_target& target, time_point now);
  void add_note(home_target& target, const std::string& attempt,
                std::string text, time_point now);

  home_settings settings;
  crash_attribution crashes;
  std::map<std::string, home_target> known_targets;
  std::map<std::string, home_server> known_servers;
  std::unordered_map<std::string, issued_permit> issued_permits;
  /// The target of each waiting attempt, by attempt id.
  std::unordered_map<std::string, std::string> target_by_attempt;
  std::map<std::string, std::uint32_t> in_flight_by_server;
  /// Servers and targets with an exclusive permit (of an implicated request) in
  /// use. Each has at most one.
  std::set<std::string> exclusive_servers;
  std::set<std::string> exclusive_targets;
  /// Servers that get no other requests until they are idle, with the attempt
  /// of the implicated request that then runs there.
  std::map<std::string, std::string> reserved_servers;
  /// Mean load times by checkpoint tier.
  std::array<running_mean, 3> mean_load_times;
  std::vector<home_action> actions;
  std::size_t waiting_total = 0;
  std::uint64_t next_sequence = 1;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_HOME_HPP
