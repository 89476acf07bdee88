#include "wire/quota_codec.hpp"

namespace boragehill::wire {

Json::Value encode(const decide::quota_report& report) {
  Json::Value value;
  value["made_ms"] = Json::Int64(report.made_at.count());
  value["round"] = Json::UInt64(report.last_round);
  value["routers"] = report.known_routers;
  for (const auto& each : report.needs) {
    Json::Value& need = value["needs"][each.account];
    if (each.waiting > 0) need["waiting"] = each.waiting;
    if (each.first > 0) need["first"] = each.first;
    if (each.ahead > 0) need["ahead"] = each.ahead;
  }
  return value;
}

decide::quota_report decode_quota_report(const Json::Value& value) {
  decide::quota_report report{
      .made_at = milliseconds(value["made_ms"].asInt64()),
      .last_round = value["round"].asUInt64(),
      .known_routers = value["routers"].asInt()};
  const auto& needs = value["needs"];
  for (const auto& account : needs.getMemberNames()) {
    const auto& need = needs[account];
    report.needs.push_back({.account = account,
                            .waiting = need["waiting"].asDouble(),
                            .first = need["first"].asDouble(),
                            .ahead = need["ahead"].asDouble()});
  }
  return report;
}

Json::Value encode(const decide::quota_grants& granted) {
  Json::Value value;
  value["round"] = Json::UInt64(granted.round);
  value["made_ms"] = Json::Int64(granted.report_made_at.count());
  for (const auto& each : granted.grants) {
    Json::Value& grant = value["grants"][each.account];
    grant["tokens"] = each.tokens;
    if (each.exhausted_for > milliseconds(0)) {
      grant["exhausted_ms"] = Json::Int64(each.exhausted_for.count());
    }
  }
  return value;
}

decide::quota_grants decode_quota_grants(const Json::Value& value) {
  decide::quota_grants granted{
      .round = value["round"].asUInt64(),
      .report_made_at = milliseconds(value["made_ms"].asInt64())};
  const auto& grants = value["grants"];
  for (const auto& account : grants.getMemberNames()) {
    const auto& grant = grants[account];
    granted.grants.push_back(
        {.account = account,
         .tokens = grant["tokens"].asDouble(),
         .exhausted_for = milliseconds(grant["exhausted_ms"].asInt64())});
  }
  return granted;
}

}  // namespace boragehill::wire
