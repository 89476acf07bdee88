#include "agent/control_methods.hpp"

#include <utility>

#include <boragehill/backend.hpp>
#include <boragehill/result_code.hpp>

#include "agent/attempt_request.hpp"
#include "agent/brain_link.hpp"
#include "wire/attempt_answer.hpp"
#include "wire/attempt_query.hpp"
#include "wire/field_codec.hpp"
#include "wire/retire_order.hpp"
#include "wire/rpc_server.hpp"
#include "wire/wake_answer.hpp"
#include "wire/wake_order.hpp"

namespace boragehill::agent {

namespace {

Json::Value nothing() {
  return Json::Value(Json::objectValue);
}

result<Json::Value> told(bool taken) {
  if (!taken) return result_code::server_busy;
  return nothing();
}

result<Json::Value> wake(const brain_link& brain, const Json::Value& params) {
  const auto order = wire::from_json<wire::wake_order>(params);
  if (!order) return order.error();
  const decide::residency_load_request wanted{
      .model = order.value().model,
      .adapter = order.value().adapter,
      .bytes = order.value().bytes,
      .adapter_bytes = order.value().adapter_bytes,
      .keep_warm = milliseconds(order.value().keep_warm_ms)};
  const auto outcome =
      brain.ask<decide::residency_load_outcome>([&](auto reply) {
        return wake_asked{wanted, std::move(reply)};
      });
  if (!outcome) return result_code::server_busy;
  return wire::to_json(
      wire::wake_answer{.code = static_cast<std::int32_t>(outcome->code),
                        .ready_in_ms = outcome->ready_in.count()});
}

result<Json::Value> retire(const brain_link& brain, const Json::Value& params) {
  const auto order = wire::from_json<wire::retire_order>(params);
  if (!order) return order.error();
  return told(brain.tell(retire_asked{order.value().model}));
}

result<decide::attempt_offer> attempt_in(const Json::Value& params) {
  const auto query = wire::from_json<wire::attempt_query>(params);
  if (!query) return query.error();
  const auto id = attempt_id::parse(query.value().attempt);
  if (!id) return result_code::malformed_request;
  return decide::attempt_offer{
      .id = *id,
      .fence = query.value().fence,
      .permit_end = time_of_ms(query.value().permit_end_ms)};
}

result<Json::Value> look_up(const brain_link& brain, const Json::Value& params,
                            bool tombstone) {
  const auto attempt = attempt_in(params);
  if (!attempt) return attempt.error();
  const auto state = brain.ask<decide::attempt_state>([&](auto reply) {
    return attempt_asked{attempt.value(), tombstone, std::move(reply)};
  });
  if (!state) return result_code::server_busy;
  return wire::to_json(wire::attempt_answer{.status = *state});
}

result<Json::Value> cancel(const brain_link& brain, backend& engine,
                           const Json::Value& params) {
  const auto attempt = attempt_in(params);
  if (!attempt) return attempt.error();
  engine.cancel(attempt.value().id.to_string());
  return look_up(brain, params, false);
}

result<Json::Value> status(const brain_link& brain) {
  const auto view = brain.ask<brain_view>(
      [](auto reply) { return view_asked{std::move(reply)}; });
  if (!view) return result_code::server_busy;
  Json::Value json = nothing();
  json["fence"] = Json::UInt64(view->fence);
  json["incarnation"] = Json::UInt64(view->incarnation);
  json["capacity_bytes"] = Json::UInt64(view->capacity_bytes);
  json["reserved_bytes"] = Json::UInt64(view->reserved_bytes);
  json["evictable_bytes"] = Json::UInt64(view->evictable_bytes);
  json["slots"] = view->slots;
  json["running"] = view->running;
  json["draining"] = view->draining;
  json["backend_up"] = view->backend_up;
  json["order_unknown"] = view->order_unknown;
  json["replicas"] = Json::Value(Json::arrayValue);
  for (const auto& replica : view->replicas) {
    json["replicas"].append(wire::to_json(replica));
  }
  return json;
}

}  // namespace

void add_control_methods(wire::rpc_server& server, const brain_link& brain,
                         backend& engine, std::function<void()> drain) {
  using params = Json::Value;
  server.add("agent.wake",
             [&brain](const params& p) { return wake(brain, p); });
  server.add("agent.retire",
             [&brain](const params& p) { return retire(brain, p); });
  server.add("agent.grants", [&brain](const params&) {
    return told(brain.tell(grants_hinted{}));
  });
  server.add("agent.tombstone",
             [&brain](const params& p) { return look_up(brain, p, true); });
  server.add("agent.attempt",
             [&brain](const params& p) { return look_up(brain, p, false); });
  server.add("agent.cancel", [&brain, &engine](const params& p) {
    return cancel(brain, engine, p);
  });
  server.add("agent.status", [&brain](const params&) { return status(brain); });
  server.add("agent.drain", [drain = std::move(drain)](const params&) {
    drain();
    return result<Json::Value>(nothing());
  });
}

}  // namespace boragehill::agent
