#ifndef BORAGEHILL_DECIDE_SHUTDOWN_GATE_HPP
#define BORAGEHILL_DECIDE_SHUTDOWN_GATE_HPP

#include <optional>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Decides which requests a router still sends to a server during its
/// shutdown.
///
/// The load balancer needs some seconds to direct callers to other routers;
/// requests until then are served. A later one is served only if it ends before
/// the process does. A longer one would be cut off, while a caller that is
/// rejected at once soon reaches another router.
///
/// Not all later requests are rejected: if all routers shut down in quick
/// succession, a rejected caller reaches only others that are shutting down.
/// Time spent waiting for a server counts, so the decision is repeated until
/// the request is sent.
class shutdown_gate {
 public:
  /// Time until the load balancer stops sending callers here. It checks the
  /// process once a second and removes it after two failures; the rest is
  /// network delay.
  static constexpr milliseconds balancer_removal_time{2900};

  /// Starts the shutdown.
  /// \param process_end When the process ends.
  void begin_shutdown(time_point now, time_point process_end);

  /// Rejects all requests from now on. Called when no request is open and the
  /// process is about to end, so that none is accepted at the last moment and
  /// cut off.
  void reject_all() { this->is_rejecting_all = true; }

  /// \param response_time Time from sending the request to the end of its
  ///     response.
  /// \param start Earliest time at which a server receives the request.
  /// \return True if the request must be rejected.
  bool rejects(milliseconds response_time, time_point start) const;

  /// A response that may last until its limit has no estimate: it is cut off if
  /// it turns out longer than others were.
  ///
  /// \param received When the request came.
  /// \param limit When its response ends at the latest.
  /// \return True if such a request must be rejected.
  bool rejects_long_response(time_point received, time_point limit) const;

  /// \return Time until the process ends; nothing before the shutdown.
  std::optional<milliseconds> time_left(time_point now) const;

 private:
  /// \return True once the load balancer has had time to stop sending callers.
  bool is_after_removal(time_point time) const;

  std::optional<time_point> shutdown_start;
  time_point shutdown_end;
  bool is_rejecting_all = false;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SHUTDOWN_GATE_HPP
