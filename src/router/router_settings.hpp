#ifndef BORAGEHILL_ROUTER_ROUTER_SETTINGS_HPP
#define BORAGEHILL_ROUTER_ROUTER_SETTINGS_HPP

#include <cstddef>
#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

#include "decide/crash_attribution_settings.hpp"
#include "decide/flow_limits.hpp"
#include "decide/home_settings.hpp"
#include "decide/membership_settings.hpp"
#include "decide/revision_view_types.hpp"
#include "router/service_settings.hpp"

namespace boragehill::kernel {
class settings_document;
}

namespace boragehill::router {

/// Everything a router reads from its settings file; docs/OPERATIONS.md lists
/// each key with unit, default and range.
struct router_settings {
  std::string id;
  std::string region;
  std::string failure_domain;
  /// Where callers, other processes and operators connect.
  endpoint callers;
  endpoint control;
  endpoint admin;
  std::string admin_token_file;
  std::string trace_file;

  /// Requests served at once, and connections that may wait for a thread.
  std::size_t caller_threads = 256;
  std::size_t caller_waiting = 512;
  std::size_t max_body_bytes = 8u << 20;
  milliseconds default_deadline{30000};
  /// How long `/readyz` fails before the listener closes, and how long
  /// running requests may then take.
  milliseconds lame_duck{2000};
  milliseconds drain{60000};
  double retry_share = 0.1;
  double retry_burst = 50;

  service_settings table;
  service_settings objects;
  service_settings vms;

  milliseconds vm_poll{2000};
  milliseconds catalog_poll{3000};
  milliseconds heartbeat{1000};
  std::size_t heartbeat_peers = 3;
  milliseconds renew{300};
  milliseconds call_timeout{500};
  milliseconds placement_poll{5000};
  /// How long a result of a non-idempotent request is kept.
  milliseconds once_retention{86400000};
  std::size_t inline_answer_bytes = 16384;

  decide::home_settings home;
  decide::crash_attribution_settings strikes;
  decide::flow_limits flow;
  decide::membership_settings members;
  decide::revision_view_settings revision;

  bool operator==(const router_settings&) const = default;
};

/// Reads and checks a router's settings.
///
/// \param document The file with the command line's overrides; its `finish()`
///   then returns every problem found.
/// \return The settings; to be used only if there was no problem.
router_settings read_router_settings(kernel::settings_document& document);

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_ROUTER_SETTINGS_HPP
