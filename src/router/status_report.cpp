#include "router/status_report.hpp"

#include <memory>

#include "decide/catalog.hpp"
#include "decide/home.hpp"
#include "router/fleet.hpp"
#include "router/home_duty.hpp"
#include "router/published_config.hpp"

namespace boragehill::router {

namespace {

const char* state_name(wire::replica_state state) {
  switch (state) {
    case wire::replica_state::cold:
      return "cold";
    case wire::replica_state::loading:
      return "loading";
    case wire::replica_state::ready:
      return "ready";
    case wire::replica_state::unloading:
      return "unloading";
  }
  return "unknown";
}

std::int64_t ago_ms(time_point then, time_point now) {
  return std::chrono::duration_cast<milliseconds>(now - then).count();
}

Json::Value servers_of(const decide::home_target& target,
                       const decide::home& home) {
  Json::Value list(Json::arrayValue);
  for (const auto& id : target.servers) {
    Json::Value server(Json::objectValue);
    server["id"] = id;
    server["state"] = "unheard";
    const auto known = home.servers().find(id);
    if (known != home.servers().end()) {
      const auto& replicas = known->second.report().replicas;
      server["state"] = replicas.empty() ? "up" : "cold";
      for (const auto& replica : replicas) {
        if ("model:" + replica.name != target.name) continue;
        server["state"] = state_name(replica.state);
        server["running"] = replica.running;
      }
    }
    list.append(server);
  }
  return list;
}

Json::Value describe(const decide::home_target& target,
                     const decide::home& home) {
  Json::Value json(Json::objectValue);
  json["target"] = target.name;
  json["waiting"] = static_cast<Json::UInt64>(target.queue.size());
  json["servers"] = servers_of(target, home);
  return json;
}

Json::Value describe_servers(const decide::home& home, time_point now) {
  Json::Value list(Json::arrayValue);
  for (const auto& [id, server] : home.servers()) {
    const auto& report = server.report();
    if (report.server.empty()) continue;
    Json::Value json(Json::objectValue);
    json["id"] = id;
    json["report_age_ms"] = report.now_ms == 0
                                ? Json::Value()
                                : Json::Value(static_cast<Json::Int64>(
                                      server.agent_clock(now) - report.now_ms));
    json["running"] = report.running;
    json["slots"] = report.slots;
    json["draining"] = report.draining;
    json["backend_up"] = report.backend_up;
    json["capacity_bytes"] = static_cast<Json::UInt64>(report.capacity_bytes);
    json["free_bytes"] = static_cast<Json::UInt64>(report.free_bytes);
    list.append(json);
  }
  return list;
}

}  // namespace

result<Json::Value> router_status(fleet& members, published_config& config,
                                  home_duty& home, milliseconds limit) {
  const auto status = std::make_shared<Json::Value>(Json::objectValue);
  const bool asked = home.question(
      [status](const decide::home& decisions, time_point now) {
        (*status)["waiting"] = static_cast<Json::UInt64>(decisions.waiting());
        (*status)["permits_out"] =
            static_cast<Json::UInt64>(decisions.outstanding_permits());
        (*status)["targets"] = Json::Value(Json::arrayValue);
        for (const auto& [name, target] : decisions.targets()) {
          if (target.servers.empty() && target.queue.empty()) continue;
          (*status)["targets"].append(describe(target, decisions));
        }
        (*status)["servers"] = describe_servers(decisions, now);
      },
      limit);
  if (!asked) return make_error_code(result_code::router_overloaded);
  (*status)["router"] = members.self().id;
  (*status)["region"] = members.self().region;
  (*status)["failure_domain"] = members.self().failure_domain;
  (*status)["revision"] =
      static_cast<Json::UInt64>(config.current()->revision());
  const auto age = config.confirmed_age(time_point::clock::now());
  (*status)["confirmed_ms"] = static_cast<Json::Int64>(age ? age->count() : -1);
  return *status;
}

result<Json::Value> explain_here(home_duty& home, const std::string& target,
                                 milliseconds limit) {
  const auto found = std::make_shared<Json::Value>();
  const bool asked = home.question(
      [found, target](const decide::home& decisions, time_point now) {
        const auto* known = decisions.target(target);
        if (known == nullptr) return;
        *found = describe(*known, decisions);
        (*found)["estimate_ms"] = static_cast<Json::Int64>(
            decisions.expected_wait(target, {}, now).count());
        (*found)["notes"] = Json::Value(Json::arrayValue);
        for (const auto& note : known->notes) {
          Json::Value json(Json::objectValue);
          json["ago_ms"] = static_cast<Json::Int64>(ago_ms(note.at, now));
          json["attempt"] = note.attempt;
          json["text"] = note.text;
          (*found)["notes"].append(json);
        }
      },
      limit);
  if (!asked) return make_error_code(result_code::router_overloaded);
  if (found->isNull()) return make_error_code(result_code::platform_not_found);
  return *found;
}

}  // namespace boragehill::router
