#ifndef BORAGEHILL_SOAK_CHECKS_HPP
#define BORAGEHILL_SOAK_CHECKS_HPP

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "invariants/retries_within_budget.hpp"
#include "soak/call_record.hpp"
#include "soak/fault_span.hpp"
#include "soak/stream_record.hpp"

namespace boragehill::soak {

/// Checks the promises of our pages against what callers and servers saw.
///
/// - No request runs more often than its route allows: once, or twice if it is
///   repeatable.
/// - A refusal that says "not run" is true.
/// - Each whole answer is the request's own.
/// - Each request is answered, refused or cut off by its deadline, but at a
///   router that was paused or dead.
/// - A request that runs is cut off only if its router was killed or its
///   server harmed: not by a planned stop, a reload, a new configuration, or
///   any trouble of the store or of agents.
///
/// \param runs How often each attempt ran, by the servers' own account.
/// \return A line for each broken promise.
std::vector<std::string> broken_promises(const std::vector<call_record>& calls,
                                         const std::map<std::string, int>& runs,
                                         const std::vector<fault_span>& faults);

/// Checks that servers begin no run for a caller that has left half a second
/// before, unless a fault at a server or its link held the bytes meanwhile.
///
/// \param begins When each attempt began to run last.
/// \return A line for each broken promise.
std::vector<std::string> runs_in_vain(
    const std::vector<call_record>& calls,
    const std::map<std::string, std::chrono::steady_clock::time_point>& begins,
    const std::vector<fault_span>& faults);

/// Checks that the retries that reach a service stay within the budget in any
/// window, over all lives of all routers. Nothing excuses them.
///
/// \param arrivals What reached servers, by their own account.
/// \return A line for each broken promise.
std::vector<std::string> retries_beyond_budget(
    const std::vector<call_record>& calls,
    const std::vector<invariants::service_event>& arrivals,
    const invariants::retry_bound& bound);

/// Checks that the requests of the callers' client account keep to its quota in
/// any window, over all lives of all routers. Nothing excuses them.
///
/// \param runs What servers ran, by their own account.
/// \param per_second What the quota allows, and as many at once.
/// \return A line if they don't.
std::vector<std::string> runs_beyond_quota(
    const std::vector<call_record>& calls,
    const std::vector<invariants::service_event>& runs, int per_second);

/// Checks that a request which ends servers reaches them no more than three
/// times later than three seconds after the third has ended, sent by routers
/// that nothing happened to, nor to the store, in the three seconds before.
///
/// \param arrivals What reached servers, including what they rejected.
/// \param crashes The attempts under which servers ended.
/// \return A line for each request that does.
std::vector<std::string> sends_beyond_crash_limit(
    const std::vector<call_record>& calls,
    const std::vector<invariants::service_event>& arrivals,
    const std::vector<invariants::service_event>& crashes,
    const std::vector<fault_span>& faults);

/// Checks that servers are told no more time than their callers have left:
/// over half a second more on no more than 20 requests and a fifth of them, at
/// routers that nothing happened to, nor to the store, in the three seconds
/// before.
///
/// \return A line if they are.
std::vector<std::string> time_beyond_deadline(
    const std::vector<call_record>& calls,
    const std::vector<invariants::service_event>& arrivals,
    const std::vector<fault_span>& faults);

/// Checks that no caller has events of one stream from servers of two versions.
/// Nothing excuses it.
///
/// \return A line for each stream that it has.
std::vector<std::string> joined_versions(
    const std::vector<stream_record>& streams);

/// Checks that the events of a stream come once each and in order, from the
/// first one on, and that all are there if its caller takes it for complete.
/// Nothing excuses it.
///
/// \return A line for each stream that breaks it.
std::vector<std::string> streams_out_of_order(
    const std::vector<stream_record>& streams);

}  // namespace boragehill::soak

#endif  // BORAGEHILL_SOAK_CHECKS_HPP
