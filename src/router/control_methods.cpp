#include "router/control_methods.hpp"

#include <functional>
#include <utility>

#include "decide/catalog.hpp"
#include "decide/home.hpp"
#include "router/fleet.hpp"
#include "router/heartbeat_duty.hpp"
#include "router/home_duty.hpp"
#include "router/load_pacer.hpp"
#include "router/permit_desk.hpp"
#include "router/placement_duty.hpp"
#include "router/published_config.hpp"
#include "router/request_log.hpp"
#include "router/status_report.hpp"
#include "wire/agent_report.hpp"
#include "wire/attempt_query.hpp"
#include "wire/attempts_done.hpp"
#include "wire/catalog_answer.hpp"
#include "wire/permit_renewal.hpp"
#include "wire/renewal_answer.hpp"
#include "wire/row_fields.hpp"
#include "wire/rpc_server.hpp"

namespace boragehill::router {

namespace {

Json::Value nothing() {
  return Json::Value(Json::objectValue);
}

/// Makes a handler that reads its message first; one that can't be read is the
/// caller's fault and changes nothing.
template <class Message, class Handle>
wire::rpc_server::handler reading(Handle handle) {
  return [handle](const Json::Value& params) -> result<Json::Value> {
    const auto message = wire::from_json<Message>(params);
    if (!message) return message.error();
    return handle(message.value());
  };
}

result<Json::Value> permit(control_parts& parts,
                           const wire::permit_request& ask) {
  if (parts.draining) {
    wire::permit_answer answer{.attempt = ask.attempt};
    answer.state = wire::permit_state::not_home;
    return wire::to_json(answer);
  }
  return wire::to_json(parts.home.ask(ask, parts.call_timeout));
}

result<Json::Value> renew(control_parts& parts,
                          const wire::permit_renewal& renewal) {
  wire::renewal_answer answer;
  // A leaving home calls all of them unknown, so they go to the next one now.
  answer.unknown = parts.draining
                       ? renewal.attempts
                       : parts.home.renew(renewal.attempts, parts.call_timeout);
  return wire::to_json(answer);
}

result<Json::Value> report(control_parts& parts,
                           const wire::agent_report& from) {
  for (const auto& [model, serial] : from.given_up) {
    parts.placement.post(
        given_up_message{from.server, model, {from.fence, serial}});
  }
  parts.members.on_heartbeat(
      {.id = from.server,
       .role =
           from.model_server ? vm_role::model_server : vm_role::service_server,
       .state = from.draining ? vm_state::leaving : vm_state::live,
       .control = from.control,
       .data = from.data,
       .failure_domain = from.failure_domain,
       .region = from.region,
       .pool = from.pool},
      time_point::clock::now());
  const bool posted = parts.home.post(report_message{from});
  if (!posted) return make_error_code(result_code::router_overloaded);
  return nothing();
}

result<Json::Value> permit_answer(control_parts& parts,
                                  const wire::permit_answer& answer) {
  const bool granted = answer.state == wire::permit_state::granted;
  // Nobody waits any more: the home must learn it, or it would hold the place
  // until the deadline.
  if (!parts.desk.bring(answer) && granted) {
    return make_error_code(result_code::caller_gone);
  }
  return nothing();
}

result<Json::Value> peer_catalog(control_parts& parts) {
  const auto current = parts.config.current();
  wire::catalog_answer answer{.revision = current->revision(), .profiles = {}};
  for (const auto& each : current->profiles()) {
    answer.profiles.push_back(wire::to_text(each));
  }
  return wire::to_json(answer);
}

void add_home_methods(wire::rpc_server& server, control_parts& parts) {
  server.add("home.permit",
             reading<wire::permit_request>(
                 [&parts](const auto& ask) { return permit(parts, ask); }));
  server.add("home.renew",
             reading<wire::permit_renewal>(
                 [&parts](const auto& renewal) -> result<Json::Value> {
                   return renew(parts, renewal);
                 }));
  server.add("home.withdraw",
             reading<wire::attempt_query>(
                 [&parts](const auto& query) -> result<Json::Value> {
                   parts.home.post(withdraw_message{query.attempt});
                   return nothing();
                 }));
  server.add("home.done",
             reading<wire::attempts_done>(
                 [&parts](const auto& done) -> result<Json::Value> {
                   parts.home.post(done_message{done});
                   return nothing();
                 }));
  server.add("home.report",
             reading<wire::agent_report>(
                 [&parts](const auto& from) { return report(parts, from); }));
  server.add("home.pace",
             reading<wire::pace_request>(
                 [&parts](const auto& asked) -> result<Json::Value> {
                   return wire::to_json(
                       parts.pacer.ask(asked, time_point::clock::now()));
                 }));
  server.add("home.explain",
             [&parts](const Json::Value& params) -> result<Json::Value> {
               return explain_here(parts.home, params["target"].asString(),
                                   parts.call_timeout);
             });
}

}  // namespace

void add_control_methods(wire::rpc_server& server, control_parts& parts) {
  add_home_methods(server, parts);
  server.add("entry.permit",
             reading<wire::permit_answer>([&parts](const auto& answer) {
               return permit_answer(parts, answer);
             }));
  server.add("entry.explain",
             [&parts](const Json::Value& params) -> result<Json::Value> {
               const auto found = parts.log.find(params["id"].asString());
               if (!found)
                 return make_error_code(result_code::platform_not_found);
               return wire::to_json(*found);
             });
  server.add("peer.heartbeat",
             reading<wire::peer_heartbeat>(
                 [&parts](const auto& from) -> result<Json::Value> {
                   parts.heartbeats.receive(from);
                   return wire::to_json(parts.heartbeats.own());
                 }));
  server.add("peer.catalog",
             [&parts](const Json::Value&) -> result<Json::Value> {
               return peer_catalog(parts);
             });
  server.add("peer.status",
             [&parts](const Json::Value&) -> result<Json::Value> {
               return router_status(parts.members, parts.config, parts.home,
                                    parts.call_timeout);
             });
}

}  // namespace boragehill::router
