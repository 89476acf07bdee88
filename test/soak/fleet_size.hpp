#ifndef BORAGEHILL_SOAK_FLEET_SIZE_HPP
#define BORAGEHILL_SOAK_FLEET_SIZE_HPP

#include "soak/fault_kind.hpp"

namespace boragehill::soak {

/// The processes of a run.
struct fleet_size {
  int routers = 2;
  /// Model workers, each with an agent.
  int workers = 3;
  int plains = 3;
  int models = 5;
  /// How many of the kinds of fault there are; a recorded seed keeps those that
  /// there were.
  int kinds = fault_kinds;
  /// The first of them that is drawn.
  int first_kind = 0;
  /// All runs at plain servers fail until the faults are over, unless one of
  /// them clears it.
  bool failing_runs = false;
  /// Requests that end each plain server which gets them; they come back in
  /// another lifetime. Each comes again and again.
  int crashing_requests = 0;
  /// The same of streams and model workers.
  int crashing_streams = 0;
  /// How many callers send each of them.
  int crashing_callers = 1;
  /// The part of a core that each router has, in hundredths; 0 is no limit.
  int router_cpu_percent = 0;
  /// The versions that the model workers' software has, in turn. If there is
  /// more than one, further callers ask for streams that may be resumed.
  int versions = 1;
  /// Requests a second that the quota of all callers' client account allows; 0
  /// for no accounts.
  int account_rate = 0;

  bool operator==(const fleet_size&) const = default;
};

}  // namespace boragehill::soak

#endif  // BORAGEHILL_SOAK_FLEET_SIZE_HPP
