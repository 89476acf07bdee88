#ifndef BORAGEHILL_WIRE_QUOTA_CODEC_HPP
#define BORAGEHILL_WIRE_QUOTA_CODEC_HPP

#include <json/value.h>

#include "decide/quota_grants.hpp"
#include "decide/quota_report.hpp"

namespace boragehill::wire {

/// The parts of messages between routers and the planner that concern quotas
/// of client accounts.
Json::Value encode(const decide::quota_report& report);
Json::Value encode(const decide::quota_grants& granted);
decide::quota_report decode_quota_report(const Json::Value& value);
decide::quota_grants decode_quota_grants(const Json::Value& value);

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_QUOTA_CODEC_HPP
