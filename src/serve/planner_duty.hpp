#ifndef BORAGEHILL_SERVE_PLANNER_DUTY_HPP
#define BORAGEHILL_SERVE_PLANNER_DUTY_HPP

#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boragehill/endpoint.hpp>

#include "decide/crash_suspects.hpp"
#include "decide/fleet_view.hpp"
#include "decide/quota_allocator.hpp"
#include "decide/rate_limit_allocator.hpp"
#include "decide/residency_planner.hpp"
#include "decide/slot_allocator.hpp"
#include "decide/stream_origins.hpp"
#include "decide/trial_grants.hpp"
#include "fleet/quarantine_row.hpp"
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

  /// Sets what gets all that is quarantined whenever it changed, on this duty's
  /// thread; called before the start.
  void on_quarantine(std::function<void(const fleet::quarantine_row&)> told) {
    this->tell_quarantine = std::move(told);
  }

  /// Becomes the planner of a term; from any thread.
  /// \param quarantine What the store holds.
  void lead(std::int64_t term, const fleet::quarantine_row& quarantine);
  void set_catalog(std::shared_ptr<const fleet::catalog> news);
  void set_servers(std::shared_ptr<const fleet::server_list> news);

 private:
  /// What a router was told of a worker.
  struct told_worker {
    /// 0 before the first update.
    std::uint64_t models_version = 0;
    int other_requests = 0;
  };
  /// What a router was told of requests, or of parts of prompts, that crash
  /// servers.
  struct told_suspects {
    std::vector<std::string> quarantined;
    std::map<std::string, time_point> suspected;
  };
  /// The fields of an update that tell of them.
  struct suspect_news {
    std::optional<std::vector<std::string>>& quarantined;
    std::optional<std::map<std::string, milliseconds>>& suspected;
  };
  /// Whether a router or agent keeps all streams for the next planner.
  struct stream_keeper {
    bool keeps = false;
    /// It was told all that were known when it began.
    bool is_told = false;
  };
  struct router_link {
    std::shared_ptr<wire::message_link> link;
    time_point linked_at;
    std::string router;
    /// By the worker's index.
    std::vector<told_worker> told;
    std::map<std::string, time_point> expected;
    told_suspects crashing_requests;
    told_suspects crashing_parts;
    /// Suspected requests that wait there, by its last report.
    std::vector<std::string> wanted_trials;
    std::map<std::string, decide::rate_limit> rate_limits;
    /// Streams that it asked for and wasn't answered.
    std::set<std::string> wanted_streams;
    stream_keeper keeper;
    int told_routers = 0;
    /// It knows that tokens of quotas are granted.
    bool knows_quotas = false;
    bool greeted = false;
  };
  struct agent_link {
    std::shared_ptr<wire::message_link> link;
    wire::worker_target told;
    stream_keeper keeper;
  };

  void on_router(const std::shared_ptr<wire::message_link>& link);
  void on_router_message(std::uint64_t number, const Json::Value& message);
  void on_router_gone(std::uint64_t number);
  /// Counts the crashes that a router has seen.
  void note_crashes(const wire::router_report& report);
  /// Counts a server against the requests that it interrupted at a router.
  void count_requests(const decide::interruption& found,
                      const std::string& router, time_point now);
  /// Finds out which servers with interruptions have ended, and quarantines
  /// what ended them.
  void judge_crashes(time_point now);
  bool has_ended(const std::string& server) const;
  void restore(const fleet::quarantine_row& row);
  /// Tells what is quarantined if that changed.
  void publish_quarantine(time_point now);
  static told_suspects state_of(const decide::crash_suspects& known,
                                time_point now);
  /// Adds what changed since a router was told.
  /// \return True if anything did.
  static bool add_suspects(const told_suspects& current, told_suspects& told,
                           const suspect_news& news, time_point now);
  /// Takes up the streams that a router tells of and those that it asks for.
  void note_streams(const wire::router_report& report, router_link& router);
  /// Adds what is known of the streams that the router asked for.
  void answer_streams(router_link& router, wire::view_update& update,
                      time_point now) const;
  /// Records streams, to be told to those that keep them.
  void record_streams(
      const std::map<std::string, decide::stream_origin>& streams,
      time_point now);
  /// Chooses the agents that keep all streams for a planner that follows after
  /// all routers were lost.
  void choose_agent_keepers();
  /// Chooses the routers that keep all streams for the next planner.
  void choose_keepers();
  /// \return The streams that a keeper hasn't been told of; none if it keeps
  ///     none.
  std::map<std::string, decide::stream_origin> untold_streams(
      stream_keeper& keeper, time_point now) const;
  /// \return Where the agent beside a worker is reached.
  endpoint agent_address(const decide::planned_worker& worker) const;
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
  /// Adds the router's tokens of quotas.
  /// \return True if there is any news of them.
  static bool add_quotas(router_link& router,
                         decide::quota_allocator::grant_map& grants,
                         wire::view_update& update);
  void set_quota_limits();
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
  decide::crash_suspects crashing_requests{decide::request_settings};
  decide::crash_suspects crashing_parts;
  decide::trial_grants trials;
  /// What the store was told last of both.
  std::map<std::string, time_point> stored_requests;
  std::map<std::string, time_point> stored_parts;
  std::function<void(const fleet::quarantine_row&)> tell_quarantine;
  /// Workers that their agents don't reach, or of another lifetime.
  std::set<std::string> lost_workers;
  decide::rate_limit_allocator rate_limits;
  decide::quota_allocator quotas;
  decide::stream_origins streams;
  /// Those that the routers that keep them haven't been told of.
  std::map<std::string, decide::stream_origin> new_streams;
  time_point leads_since;
  time_point streams_dropped_at;
  decide::slot_allocator slots;
  decide::fleet_view view;
  time_point last_plan;
  bool soon = false;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_PLANNER_DUTY_HPP
