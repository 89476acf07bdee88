#ifndef BORAGEHILL_REVIEW_COMMON_WORKER_HPP
#define BORAGEHILL_REVIEW_COMMON_WORKER_HPP

#include <json/json.h>
#include <string>

#include "fleet.hpp"
#include "net.hpp"

// What the workers of the scripts have in common.
namespace review {

/// \return The entry of a worker in the store's table `servers`.
inline Json::Value server_entry(const std::string& service, const address& at,
                                int slots) {
  Json::Value entry;
  entry["service"] = service;
  entry["addr"] = at.text();
  entry["zone"] = "zone-1";
  entry["version"] = "v1";
  entry["slots"] = slots;
  entry["state"] = "ready";
  entry["coldLeftMs"] = 0;
  entry["seq"] = 0;
  return entry;
}

inline Json::Value route(const std::string& name, const std::string& prefix,
                         const std::string& kind, const std::string& service,
                         int attempts, int timeout_ms, int slo_ms) {
  Json::Value made;
  made["name"] = name;
  made["host"] = "valves.example";
  made["prefix"] = prefix;
  made["kind"] = kind;
  made["service"] = service;
  made["attempts"] = attempts;
  made["timeoutMs"] = timeout_ms;
  made["sloMs"] = slo_ms;
  made["priority"] = 0;
  return made;
}

/// \return A configuration with one plain service, without routes.
inline Json::Value configuration(const std::string& service) {
  Json::Value config;
  config["version"] = 1;
  config["routes"] = Json::Value(Json::arrayValue);
  Json::Value plain;
  plain["name"] = service;
  plain["maxConns"] = 100;
  plain["healthPath"] = "/healthz";
  config["services"].append(plain);
  config["limits"]["maxHeaderBytes"] = 8192;
  config["limits"]["maxBodyBytes"] = 1048576;
  config["limits"]["headerTimeoutMs"] = 2000;
  config["limits"]["idleTimeoutMs"] = 10000;
  return config;
}

/// Answers a status check of a plain service.
inline bool answer_health(connection& from, const message& request,
                          const std::string& id) {
  if (request.second != "/healthz") return false;
  from.write(answer_text(200, {{"Boragehill-Instance-Id", id}}, "{}"));
  return true;
}

inline void listen_or_give_up(const address& at,
                              std::function<void(connection&)> handle) {
  const int listener = listen_at(at);
  if (listener < 0) give_up("no worker at " + at.text());
  serve(listener, std::move(handle));
}

}  // namespace review

#endif  // BORAGEHILL_REVIEW_COMMON_WORKER_HPP
