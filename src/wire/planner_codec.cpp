#include "wire/planner_codec.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "kernel/json_text.hpp"
#include "wire/quota_codec.hpp"

namespace boragehill::wire {

namespace {

Json::Value encode_texts(const std::vector<std::string>& texts) {
  Json::Value list(Json::arrayValue);
  for (const auto& each : texts) list.append(each);
  return list;
}

Json::Value encode_models(const std::vector<fleet::resident_model>& models) {
  Json::Value list(Json::arrayValue);
  for (const auto& each : models) {
    Json::Value model;
    model["name"] = each.name;
    if (!each.adapters.empty()) model["adapters"] = encode_texts(each.adapters);
    list.append(model);
  }
  return list;
}

std::vector<fleet::resident_model> decode_models(const Json::Value& list) {
  std::vector<fleet::resident_model> models;
  for (const auto& each : list) {
    models.push_back(
        {each["name"].asString(), kernel::texts_of(each["adapters"])});
  }
  return models;
}

Json::Value encode_demand(const decide::model_demand& demand) {
  Json::Value value;
  value["service"] = demand.service;
  value["model"] = demand.model;
  if (!demand.adapter.empty()) value["adapter"] = demand.adapter;
  if (!demand.software.empty()) value["software"] = demand.software;
  if (demand.arrivals > 0) value["arrivals"] = demand.arrivals;
  if (demand.waiting > 0) {
    value["waiting"] = demand.waiting;
    if (demand.late > 0) value["late"] = demand.late;
    value["oldest_ms"] = Json::Int64(demand.oldest_wait.count());
    value["worth"] = demand.weight;
  }
  return value;
}

decide::model_demand decode_demand(const Json::Value& value) {
  return {.service = value["service"].asString(),
          .model = value["model"].asString(),
          .adapter = value["adapter"].asString(),
          .software = value["software"].asString(),
          .arrivals = value["arrivals"].asInt(),
          .waiting = value["waiting"].asInt(),
          .late = value["late"].asInt(),
          .oldest_wait = milliseconds(value["oldest_ms"].asInt64()),
          .weight = value["worth"].asDouble()};
}

Json::Value encode_flight(const decide::model_in_flight& flight) {
  Json::Value value;
  value["server"] = flight.server;
  value["model"] = flight.model;
  if (!flight.adapter.empty()) value["adapter"] = flight.adapter;
  value["requests"] = flight.requests;
  return value;
}

decide::model_in_flight decode_flight(const Json::Value& value) {
  return {.server = value["server"].asString(),
          .model = value["model"].asString(),
          .adapter = value["adapter"].asString(),
          .requests = value["requests"].asInt()};
}

Json::Value encode_tokens(
    const std::vector<decide::rate_limit_tokens>& tokens) {
  Json::Value counts(Json::objectValue);
  for (const auto& each : tokens) counts[each.server] = each.count;
  return counts;
}

std::vector<decide::rate_limit_tokens> decode_tokens(
    const Json::Value& counts) {
  std::vector<decide::rate_limit_tokens> tokens;
  for (const auto& server : counts.getMemberNames()) {
    tokens.push_back({.server = server, .count = counts[server].asInt()});
  }
  return tokens;
}

Json::Value encode_grants(const std::vector<decide::slot_grant>& grants) {
  Json::Value list(Json::arrayValue);
  for (const auto& each : grants) {
    Json::Value value;
    value["server"] = each.server;
    value["model"] = each.model;
    if (!each.adapter.empty()) value["adapter"] = each.adapter;
    value["slots"] = each.count;
    list.append(value);
  }
  return list;
}

std::vector<decide::slot_grant> decode_grants(const Json::Value& list) {
  std::vector<decide::slot_grant> grants;
  for (const auto& each : list) {
    grants.push_back({.server = each["server"].asString(),
                      .model = each["model"].asString(),
                      .adapter = each["adapter"].asString(),
                      .count = each["slots"].asInt()});
  }
  return grants;
}

Json::Value encode_limits(
    const std::map<std::string, decide::rate_limit>& limits) {
  Json::Value list(Json::objectValue);
  for (const auto& [server, each] : limits) {
    list[server]["per_s"] = each.per_second;
    list[server]["waiting"] = each.waiting_routers;
  }
  return list;
}

std::map<std::string, decide::rate_limit> decode_limits(
    const Json::Value& list) {
  std::map<std::string, decide::rate_limit> limits;
  for (const auto& server : list.getMemberNames()) {
    limits[server] = {.per_second = list[server]["per_s"].asDouble(),
                      .waiting_routers = list[server]["waiting"].asInt()};
  }
  return limits;
}

Json::Value encode_announcements(
    const std::vector<decide::rate_limit_announcement>& announcements) {
  Json::Value list(Json::arrayValue);
  for (const auto& each : announcements) {
    Json::Value value;
    value["server"] = each.server;
    if (each.limit) value["per_s"] = *each.limit;
    list.append(value);
  }
  return list;
}

std::vector<decide::rate_limit_announcement> decode_announcements(
    const Json::Value& list) {
  std::vector<decide::rate_limit_announcement> announcements;
  for (const auto& each : list) {
    decide::rate_limit_announcement found{.server = each["server"].asString()};
    if (each.isMember("per_s")) found.limit = each["per_s"].asDouble();
    announcements.push_back(std::move(found));
  }
  return announcements;
}

Json::Value encode_ages(const std::map<std::string, milliseconds>& ages) {
  Json::Value list(Json::objectValue);
  for (const auto& [name, age] : ages) list[name] = Json::Int64(age.count());
  return list;
}

std::map<std::string, milliseconds> decode_ages(const Json::Value& list) {
  std::map<std::string, milliseconds> ages;
  for (const auto& name : list.getMemberNames()) {
    ages.emplace(name, list[name].asInt64());
  }
  return ages;
}

Json::Value encode_interruption(const decide::interruption& found) {
  Json::Value value;
  value["server"] = found.server;
  value["age_ms"] = Json::Int64(found.age.count());
  Json::Value& requests = value["requests"] = Json::Value(Json::arrayValue);
  for (const auto& [request, sighting] : found.requests) {
    requests.append(request);
    if (sighting.ran) {
      value["ran_ms"][request] = Json::Int64(sighting.ran->count());
    }
    if (sighting.delay > milliseconds(0)) {
      value["delay_ms"][request] = Json::Int64(sighting.delay.count());
    }
    if (sighting.runs != 1) value["runs"][request] = sighting.runs;
  }
  for (const auto& [part, sighting] : found.parts) {
    value["parts"][part] = sighting.position;
  }
  return value;
}

decide::interruption decode_interruption(const Json::Value& value) {
  decide::interruption found{.server = value["server"].asString(),
                             .age = milliseconds(value["age_ms"].asInt64())};
  const auto& ran = value["ran_ms"];
  const auto& delays = value["delay_ms"];
  const auto& runs = value["runs"];
  for (const auto& request : kernel::texts_of(value["requests"])) {
    auto& sighting = found.requests[request];
    if (ran.isMember(request)) {
      sighting.ran = milliseconds(ran[request].asInt64());
    }
    if (delays.isMember(request)) {
      sighting.delay = milliseconds(delays[request].asInt64());
    }
    if (runs.isMember(request)) sighting.runs = runs[request].asInt();
  }
  const auto& parts = value["parts"];
  for (const auto& part : parts.getMemberNames()) {
    found.parts.emplace(
        part, decide::suspect_sighting{.position = parts[part].asInt()});
  }
  return found;
}

Json::Value encode_streams(
    const std::map<std::string, decide::stream_origin>& streams) {
  Json::Value list(Json::objectValue);
  for (const auto& [stream, origin] : streams) {
    list[stream]["service"] = origin.service;
    list[stream]["software"] = origin.software;
    list[stream]["ms"] = Json::Int64(origin.lifetime.count());
  }
  return list;
}

std::map<std::string, decide::stream_origin> decode_streams(
    const Json::Value& list) {
  std::map<std::string, decide::stream_origin> streams;
  for (const auto& stream : list.getMemberNames()) {
    streams[stream] = {.service = list[stream]["service"].asString(),
                       .software = list[stream]["software"].asString(),
                       .lifetime = milliseconds(list[stream]["ms"].asInt64())};
  }
  return streams;
}

}  // namespace

Json::Value encode(const view_update& update) {
  Json::Value message;
  message["term"] = Json::Int64(update.term);
  message["routers"] = update.routers;
  message["whole"] = update.whole;
  Json::Value& list = message["servers"] = Json::Value(Json::arrayValue);
  for (const auto& each : update.servers) {
    Json::Value view;
    view["server"] = each.server;
    if (each.models) view["models"] = encode_models(*each.models);
    view["others"] = each.other_requests;
    list.append(view);
  }
  for (const auto& each : update.expected) {
    message["expected"][each.model] = Json::Int64(each.ready_in.count());
  }
  if (update.quarantined_requests) {
    message["convicted"] = encode_texts(*update.quarantined_requests);
  }
  if (update.suspected_requests) {
    message["suspected_requests"] = encode_ages(*update.suspected_requests);
  }
  if (update.quarantined_parts) {
    message["quarantined_parts"] = encode_texts(*update.quarantined_parts);
  }
  if (update.suspected_parts) {
    message["suspected_parts"] = encode_ages(*update.suspected_parts);
  }
  if (update.rate_limits) {
    message["rate_limits"] = encode_limits(*update.rate_limits);
  }
  if (!update.tokens.empty()) message["tokens"] = encode_tokens(update.tokens);
  if (update.quota_grants) {
    message["quotas"] = encode(*update.quota_grants);
  }
  if (!update.streams.empty()) {
    message["streams"] = encode_streams(update.streams);
  }
  if (!update.unknown_streams.empty()) {
    message["unknown_streams"] = encode_texts(update.unknown_streams);
  }
  if (!update.trials.empty()) message["trials"] = encode_texts(update.trials);
  if (!update.grants.empty()) {
    message["grants"] = encode_grants(update.grants);
    message["grant_round"] = Json::UInt64(update.grant_round);
  }
  return message;
}

view_update decode_view_update(const Json::Value& message) {
  view_update update{.term = message["term"].asInt64(),
                     .routers = message["routers"].asInt(),
                     .whole = message["whole"].asBool()};
  for (const auto& each : message["servers"]) {
    server_view view{.server = each["server"].asString(),
                     .other_requests = each["others"].asInt()};
    if (each.isMember("models")) view.models = decode_models(each["models"]);
    update.servers.push_back(std::move(view));
  }
  const auto& expected = message["expected"];
  for (const auto& model : expected.getMemberNames()) {
    update.expected.push_back(
        {.model = model, .ready_in = milliseconds(expected[model].asInt64())});
  }
  if (message.isMember("convicted")) {
    update.quarantined_requests = kernel::texts_of(message["convicted"]);
  }
  if (message.isMember("suspected_requests")) {
    update.suspected_requests = decode_ages(message["suspected_requests"]);
  }
  if (message.isMember("quarantined_parts")) {
    update.quarantined_parts = kernel::texts_of(message["quarantined_parts"]);
  }
  if (message.isMember("suspected_parts")) {
    update.suspected_parts = decode_ages(message["suspected_parts"]);
  }
  if (message.isMember("rate_limits")) {
    update.rate_limits = decode_limits(message["rate_limits"]);
  }
  update.tokens = decode_tokens(message["tokens"]);
  if (message.isMember("quotas")) {
    update.quota_grants = decode_quota_grants(message["quotas"]);
  }
  update.streams = decode_streams(message["streams"]);
  update.unknown_streams = kernel::texts_of(message["unknown_streams"]);
  update.trials = kernel::texts_of(message["trials"]);
  update.grants = decode_grants(message["grants"]);
  update.grant_round = message["grant_round"].asUInt64();
  return update;
}

Json::Value encode(const worker_target& target) {
  Json::Value message;
  message["term"] = Json::Int64(target.term);
  message["server"] = target.server;
  message["born"] = Json::Int64(target.born);
  message["service"] = target.service;
  message["models"] = encode_texts(target.target.models);
  message["adapters"] = encode_texts(target.target.adapters);
  if (!target.streams.empty()) {
    message["streams"] = encode_streams(target.streams);
  }
  return message;
}

worker_target decode_worker_target(const Json::Value& message) {
  return {.term = message["term"].asInt64(),
          .server = message["server"].asString(),
          .born = message["born"].asInt64(),
          .service = message["service"].asString(),
          .target = {.models = kernel::texts_of(message["models"]),
                     .adapters = kernel::texts_of(message["adapters"])},
          .streams = decode_streams(message["streams"])};
}

Json::Value encode(const worker_status& status) {
  Json::Value message;
  message["term"] = Json::Int64(status.term);
  message["reachable"] = status.reachable;
  const auto& report = status.report;
  message["server"] = report.server;
  message["born"] = Json::Int64(report.born);
  if (report.leaving) message["leaving"] = true;
  message["models"] = encode_models(report.models);
  message["coming"] = encode_texts(report.coming);
  message["busy"] = report.busy;
  message["sequence"] = Json::Int64(report.sequence);
  message["running"] = report.running;
  message["waiting"] = report.waiting;
  message["in_memory"] = encode_texts(report.in_memory);
  message["on_disk"] = encode_texts(report.on_disk);
  if (!status.streams.empty()) {
    message["streams"] = encode_streams(status.streams);
  }
  return message;
}

worker_status decode_worker_status(const Json::Value& message) {
  return {.term = message["term"].asInt64(),
          .reachable = message["reachable"].asBool(),
          .report = {.server = message["server"].asString(),
                     .born = message["born"].asInt64(),
                     .leaving = message["leaving"].asBool(),
                     .models = decode_models(message["models"]),
                     .coming = kernel::texts_of(message["coming"]),
                     .busy = message["busy"].asBool(),
                     .sequence = message["sequence"].asInt64(),
                     .running = message["running"].asInt(),
                     .waiting = message["waiting"].asInt(),
                     .in_memory = kernel::texts_of(message["in_memory"]),
                     .on_disk = kernel::texts_of(message["on_disk"])},
          .streams = decode_streams(message["streams"])};
}

Json::Value encode(const router_report& report) {
  Json::Value message;
  message["router"] = report.router;
  Json::Value& demands = message["demands"] = Json::Value(Json::arrayValue);
  for (const auto& each : report.demand.demands) {
    demands.append(encode_demand(each));
  }
  Json::Value& flights = message["flights"] = Json::Value(Json::arrayValue);
  for (const auto& each : report.demand.in_flight) {
    flights.append(encode_flight(each));
  }
  if (report.demand.last_grant_round > 0) {
    message["grant_round"] = Json::UInt64(report.demand.last_grant_round);
  }
  if (!report.demand.unresponsive_servers.empty()) {
    message["silent"] = encode_texts(report.demand.unresponsive_servers);
  }
  if (!report.demand.unreachable_servers.empty()) {
    message["unreachable"] = encode_texts(report.demand.unreachable_servers);
  }
  for (const auto& each : report.interruptions) {
    message["crashes"].append(encode_interruption(each));
    // What planners of an earlier version read.
    for (const auto& [request, sighting] : each.requests) {
      message["strikes"].append(request);
    }
  }
  const auto add = [&message](const char* name,
                              const std::vector<std::string>& texts) {
    if (!texts.empty()) message[name] = encode_texts(texts);
  };
  add("quarantined", report.quarantined);
  add("cleared_requests", report.cleared_requests);
  add("completed_requests", report.completed_requests);
  add("wanted_trials", report.wanted_trials);
  add("quarantined_parts", report.quarantined_parts);
  add("cleared_parts", report.cleared_parts);
  add("completed_parts", report.completed_parts);
  const auto& limits = report.rate_limits;
  if (!limits.announcements.empty()) {
    message["rate_limits"] = encode_announcements(limits.announcements);
  }
  if (!limits.needed.empty()) message["tokens"] = encode_tokens(limits.needed);
  if (report.quotas) message["quotas"] = encode(*report.quotas);
  if (!report.streams.empty()) {
    message["streams"] = encode_streams(report.streams);
  }
  add("wanted_streams", report.wanted_streams);
  return message;
}

router_report decode_router_report(const Json::Value& message) {
  router_report report{.router = message["router"].asString()};
  for (const auto& each : message["demands"]) {
    report.demand.demands.push_back(decode_demand(each));
  }
  for (const auto& each : message["flights"]) {
    report.demand.in_flight.push_back(decode_flight(each));
  }
  report.demand.unresponsive_servers = kernel::texts_of(message["silent"]);
  report.demand.unreachable_servers = kernel::texts_of(message["unreachable"]);
  report.demand.last_grant_round = message["grant_round"].asUInt64();
  for (const auto& each : message["crashes"]) {
    report.interruptions.push_back(decode_interruption(each));
  }
  report.quarantined = kernel::texts_of(message["quarantined"]);
  report.cleared_requests = kernel::texts_of(message["cleared_requests"]);
  report.completed_requests = kernel::texts_of(message["completed_requests"]);
  report.wanted_trials = kernel::texts_of(message["wanted_trials"]);
  report.quarantined_parts = kernel::texts_of(message["quarantined_parts"]);
  report.cleared_parts = kernel::texts_of(message["cleared_parts"]);
  report.completed_parts = kernel::texts_of(message["completed_parts"]);
  report.streams = decode_streams(message["streams"]);
  report.wanted_streams = kernel::texts_of(message["wanted_streams"]);
  if (message.isMember("quotas")) {
    report.quotas = decode_quota_report(message["quotas"]);
  }
  report.rate_limits = {
      .announcements = decode_announcements(message["rate_limits"]),
      .needed = decode_tokens(message["tokens"])};
  return report;
}

}  // namespace boragehill::wire
