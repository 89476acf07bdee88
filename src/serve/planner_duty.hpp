#ifndef BORAGEHILL_SERVE_PLANNER_DUTY_HPP
#define BORAGEHILL_SERVE_PLANNER_DUTY_HPP

#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boragehill/endpoint.hpp>

#include "decide/crash_counter.hpp"
#include "decide/crash_suspects.hpp"
#include "decide/fleet_view.hpp"
#include "decide/rate_limit_allocator.hpp"
#include "decide/residency_planner.hpp"
#include "decide/slot_allocator.hpp"
#include "kernel/event_loop.hpp"
#include "serve/entry_settings.hpp"
#include "wire/link_listener.hpp"
#include "wire/router_report.hpp"
#include "wire/view_update.hpp"
#include "wire/worker_target.hpp"

namespace boragehill::serve {

/// The planner of the fleet while this router is it: hears the routers'
/// demand and the agents' reports, and tells both what is decided. It has a
/// thread of its own, so that planning never holds up a request.
class planner_duty {
 public:
  explicit planner_duty(const entry_settings& settings);

  /// Listens for routers.
  /// \return The system's error if the address can't be had.
  std::error_code start();
  void stop();

  /// Becomes the planner of a term; from any thread.
  void lead(std::int64_t term);
  void set_catalog(std::shared_ptr<const fleet::catalog> news);
  void set_servers(std::shared_ptr<const fleet::server_list> news);

 private:
  /// Requests that break off, over all routers; convicted ones stay longest.
  static constexpr std::size_t most_struck = 1024;
  /// What a router was told of a worker.
  struct told_worker {
    /// 0 before the first update.
    std::uint64_t models_version = 0;
    int other_requests = 0;
  };
  struct router_link {
    std::shared_ptr<wire::message_link> link;
    time_point linked_at;
    std::string router;
    /// By the worker's index.
    std::vector<told_worker> told;
    std::map<std::string, time_point> expected;
    std::vector<std::string> convicted;
    std::vector<std::string> quarantined_parts;
    std::map<std::string, time_point> suspected_parts;
    std::map<std::string, decide::rate_limit> rate_limits;
    int told_routers = 0;
    bool greeted = false;
  };
  struct agent_link {
    std::shared_ptr<wire::message_link> link;
    wire::worker_target told;
  };

  void on_router(const std::shared_ptr<wire::message_link>& link);
  void on_router_message(std::uint64_t number, const Json::Value& message);
  void on_router_gone(std::uint64_t number);
  /// Counts the crashes that a router has seen.
  void note_crashes(const wire::router_report& report);
  /// Counts a server that interrupted a request at a router.
  void count_crash(const std::string& fingerprint, const std::string& server,
                   const std::string& router, time_point now);
  /// Finds out which servers with interruptions have ended, and quarantines the
  /// parts of prompts that ended them.
  void judge_crashes(time_point now);
  bool has_ended(const std::string& server) const;
  /// Adds what changed of quarantined and suspected parts.
  /// \return True if anything did.
  bool add_parts(router_link& router, wire::view_update& update,
                 time_point now) const;
  void link_agents();
  void connect_agent(const endpoint& address);
  void on_agent_message(const endpoint& address, const Json::Value& message);
  std::string server_at(const endpoint& address, const std::string& told) const;
  void step_down(std::int64_t higher);
  void plan_soon();
  void arm(milliseconds wait);
  void plan();
  void log_move(const decide::load_decision& move) const;
  void tell_agents();
  void tell_routers();
  /// Adds what changed at the workers since the router was told of them.
  void add_news(router_link& router, const std::map<std::string, int>& own,
                wire::view_update& update) const;
  decide::slot_allocator::grant_map grant_slots(time_point now);
  /// \return The ready times that the router has to know.
  std::map<std::string, time_point> expected_at(
      const std::string& router) const;
  std::map<std::string, int> requests_of(const std::string& router) const;

  entry_settings settings;
  kernel::event_loop loop;
  wire::link_listener listener;
  asio::steady_timer timer;
  decide::residency_planner planner;
  std::shared_ptr<const fleet::catalog> catalog;
  fleet::server_list servers;
  std::int64_t term = 0;
  std::uint64_t next_router = 0;
  std::map<std::uint64_t, router_link> routers;
  std::map<std::string, decide::demand_report> demands;
  std::map<endpoint, agent_link> agents;
  std::map<endpoint, time_point> agent_retry;
  decide::crash_counter crashes{most_struck};
  /// Requests that no router should run, as last summed up.
  std::vector<std::string> convicted;
  decide::crash_suspects part_crashes;
  /// Workers that their agents don't reach, or of another lifetime.
  std::set<std::string> lost_workers;
  decide::rate_limit_allocator rate_limits;
  decide::slot_allocator slots;
  decide::fleet_view view;
  time_point last_plan;
  bool soon = false;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_PLANNER_DUTY_HPP
