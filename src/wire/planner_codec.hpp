#ifndef BORAGEHILL_WIRE_PLANNER_CODEC_HPP
#define BORAGEHILL_WIRE_PLANNER_CODEC_HPP

#include <json/json.h>

#include "wire/router_report.hpp"
#include "wire/view_update.hpp"
#include "wire/worker_status.hpp"
#include "wire/worker_target.hpp"

namespace boragehill::wire {

// The messages between the planner, the routers and the agents. Decoding takes
// missing fields as empty; a field of another type throws `Json::Exception`,
// which ends the link.

Json::Value encode(const view_update& update);
Json::Value encode(const worker_target& target);
Json::Value encode(const worker_status& status);
Json::Value encode(const router_report& report);

view_update decode_view_update(const Json::Value& message);
worker_target decode_worker_target(const Json::Value& message);
worker_status decode_worker_status(const Json::Value& message);
router_report decode_router_report(const Json::Value& message);

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_PLANNER_CODEC_HPP
