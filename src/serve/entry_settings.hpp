#ifndef BORAGEHILL_SERVE_ENTRY_SETTINGS_HPP
#define BORAGEHILL_SERVE_ENTRY_SETTINGS_HPP

#include <algorithm>
#include <cstddef>
#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

#include "decide/planner_settings.hpp"
#include "decide/prompt_backlog_limits.hpp"
#include "decide/quota_settings.hpp"
#include "decide/windowed_retry_budget_settings.hpp"
#include "serve/node_settings.hpp"

namespace boragehill::kernel {
class settings_document;
}

namespace boragehill::serve {

/// The settings of a router on the platform's store.
struct entry_settings : node_settings {
  std::string failure_domain;
  /// Where callers connect.
  endpoint listen;
  /// Where the platform asks whether the router is ready.
  endpoint ready;
  /// What the machine's link carries, in megabits a second; a weak machine is
  /// the last to become the planner.
  double link_mbps = 1000;
  /// From SIGTERM to the end of the process.
  milliseconds stop_within{8000};
  /// What the process may use at the most, in megabytes.
  double memory_mb = 256;
  decide::windowed_retry_budget_settings budget;
  decide::quota_settings quotas;
  decide::planner_settings planner;
  /// How far above its slots a server may be filled.
  double queue_share = 0.25;
  decide::prompt_backlog_limits unread;

  bool operator==(const entry_settings&) const = default;

  /// \return The most bytes of request bodies at once, over all connections. A
  ///     body is held up to three times: as it was read, for a second send, and
  ///     on its way to the server; an eighth leaves more than half of the
  ///     memory to all else.
  std::size_t body_memory() const {
    constexpr double share = 0.125;
    constexpr double bytes_per_mb = 1 << 20;
    return static_cast<std::size_t>(this->memory_mb * share * bytes_per_mb);
  }
  /// \return The most bytes of responses that callers haven't taken, over all
  ///     connections. Callers that read leave a few kilobytes each; an eighth
  ///     leaves most of the memory to the connections themselves, which take
  ///     some 40 KB each with that of the server.
  std::size_t response_memory() const {
    // Less would close connections for a few responses of usual size.
    constexpr std::size_t least = 4U << 20U;
    return std::max(this->body_memory(), least);
  }
};

/// Reads a router's settings; problems are left in the document.
entry_settings read_entry_settings(kernel::settings_document& document);

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_ENTRY_SETTINGS_HPP
