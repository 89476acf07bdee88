#ifndef BORAGEHILL_ROUTER_STATUS_REPORT_HPP
#define BORAGEHILL_ROUTER_STATUS_REPORT_HPP

#include <json/value.h>
#include <string>

#include <boragehill/result.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::router {

class fleet;
class home_duty;
class published_config;

/// Returns what `status` shows of one router: its revision, its targets with
/// their queues and servers, and the servers as it sees them.
///
/// \param limit How long to wait for the home duty.
/// \return A JSON object. Errors: router_overloaded.
result<Json::Value> router_status(fleet& members, published_config& config,
                                  home_duty& home, milliseconds limit);

/// Returns the kept decisions about a target, oldest first.
///
/// \return A JSON object {target, waiting, servers, notes: [{ago_ms, attempt,
///   text}]}. Errors: router_overloaded, platform_not_found (nobody asked this
///   router for the target).
result<Json::Value> explain_here(home_duty& home, const std::string& target,
                                 milliseconds limit);

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_STATUS_REPORT_HPP
