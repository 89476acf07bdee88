#include "router/admin_listener.hpp"

#include <charconv>
#include <httplib.h>
#include <json/json.h>
#include <openssl/crypto.h>
#include <utility>

#include "decide/catalog.hpp"
#include "decide/target_name.hpp"
#include "kernel/event_log.hpp"
#include "kernel/wall_clock.hpp"
#include "router/catalog_duty.hpp"
#include "router/fleet.hpp"
#include "router/profile_toml.hpp"
#include "router/published_config.hpp"
#include "router/publisher.hpp"
#include "router/refusal_response.hpp"
#include "router/request_log.hpp"
#include "router/status_report.hpp"
#include "wire/row_fields.hpp"
#include "wire/rpc_client.hpp"

namespace boragehill::router {

namespace {

constexpr std::size_t max_profile_bytes = 4u << 20;
constexpr int too_large_status = 413;
constexpr std::size_t admin_threads = 4;
constexpr milliseconds come_back{1000};

void write_json(const Json::Value& json, httplib::Response& response) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  response.set_content(Json::writeString(builder, json) + "\n",
                       "application/json");
}

void write_error(result_code code, const std::string& message,
                 httplib::Response& response) {
  const bool later = http_status_of(code) == 503;
  write_refusal(
      {code, ran_state::no, later ? come_back : milliseconds{0}, message},
      response);
}

void write_result(const result<Json::Value>& found,
                  httplib::Response& response) {
  if (found) return write_json(found.value(), response);
  const auto code = code_of(found.error());
  const bool unknown = code == result_code::unknown_path ||
                       code == result_code::platform_not_found;
  write_error(unknown ? result_code::unknown_path : code,
              unknown ? "no model, pool or recent request is called so"
                      : "the home router does not answer",
              response);
}

std::uint64_t number_of(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

Json::Value summary(const profile_row& row) {
  Json::Value json = wire::to_json(row.published);
  json["published_at_ms"] = static_cast<Json::Int64>(row.published_at_ms);
  json["source"] = row.source;
  return json;
}

}  // namespace

admin_listener::admin_listener(endpoint where, std::string secret,
                               admin_parts& owner)
    : listen(std::move(where)),
      token(std::move(secret)),
      parts(owner),
      server(std::make_unique<httplib::Server>()) {
  this->server->new_task_queue = [] {
    return new httplib::ThreadPool(admin_threads);
  };
  this->server->set_payload_max_length(max_profile_bytes);
  this->add_routes();
}

admin_listener::~admin_listener() {
  this->stop();
}

result<void> admin_listener::start() {
  const bool bound =
      this->server->bind_to_port(this->listen.address, this->listen.port);
  if (!bound) return make_error_code(result_code::address_in_use);
  this->listening = std::thread([this] { this->server->listen_after_bind(); });
  return success();
}

void admin_listener::stop() {
  if (!this->listening.joinable()) return;
  this->server->stop();
  this->listening.join();
}

void admin_listener::add_routes() {
  this->server->set_pre_routing_handler(
      [this](const httplib::Request& raw, httplib::Response& response) {
        if (this->allowed(raw)) {
          return httplib::Server::HandlerResponse::Unhandled;
        }
        write_error(result_code::unauthorized, "the token is missing or wrong",
                    response);
        return httplib::Server::HandlerResponse::Handled;
      });
  this->server->set_error_handler([](const httplib::Request&,
                                     httplib::Response& response) {
    if (!response.body.empty()) return;
    const bool large = response.status == too_large_status;
    write_error(large ? result_code::body_too_large : result_code::unknown_path,
                large ? "the profile is too large" : "there is no such path",
                response);
  });
  this->server->Put("/admin/v1/profiles",
                    [this](const auto& raw, auto& response) {
                      this->publish(raw, response);
                    });
  this->server->Get("/admin/v1/profiles", [this](const auto&, auto& response) {
    this->list(response);
  });
  this->server->Get(R"(/admin/v1/profiles/([^/]+))",
                    [this](const auto& raw, auto& response) {
                      this->show(raw.matches[1], response);
                    });
  this->server->Get(R"(/admin/v1/profiles/([^/]+)/history)",
                    [this](const auto& raw, auto& response) {
                      this->history(raw.matches[1], response);
                    });
  this->server->Get("/admin/v1/status", [this](const auto&, auto& response) {
    this->status(response);
  });
  this->server->Get(R"(/admin/v1/explain/(.+))",
                    [this](const auto& raw, auto& response) {
                      this->explain(raw.matches[1], response);
                    });
}

bool admin_listener::allowed(const httplib::Request& raw) const {
  const std::string expected = "Bearer " + this->token;
  const std::string given = raw.get_header_value("Authorization");
  // Compared in constant time, so that the time taken does not tell how much
  // of a guess was right.
  return given.size() == expected.size() &&
         CRYPTO_memcmp(given.data(), expected.data(), given.size()) == 0;
}

void admin_listener::publish(const httplib::Request& raw,
                             httplib::Response& response) {
  auto read = read_profile(raw.body, "profile");
  if (!read.problems.empty()) {
    std::string message;
    for (const auto& problem : read.problems) {
      message += (message.empty() ? "" : "; ") + problem.to_string();
    }
    return write_error(result_code::profile_invalid, message, response);
  }
  const std::string name = read.draft.name;
  const auto published = this->parts.published.publish(
      {.published = std::move(read.draft),
       .publish_id = raw.get_param_value("publish_id"),
       .source = raw.body,
       .published_at_ms = kernel::wall_clock_ms()},
      number_of(raw.get_param_value("base")));
  if (!published) {
    const auto code = code_of(published.error());
    if (code == result_code::profile_conflict) {
      kernel::log_event(kernel::event::profile_conflict, {{"profile", name}});
    }
    return write_error(code, this->why_not_accepted(code, name), response);
  }
  kernel::log_event(kernel::event::profile_published,
                    {{"profile", name}, {"revision", published.value()}});
  this->parts.catalogs.poll_now();
  Json::Value json(Json::objectValue);
  json["profile"] = name;
  json["revision"] = static_cast<Json::UInt64>(published.value());
  write_json(json, response);
}

std::string admin_listener::why_not_accepted(result_code code,
                                             const std::string& name) {
  if (code == result_code::profile_unconfirmed) {
    return "the table's answer was lost; profile " + name +
           " may have been accepted";
  }
  std::string refused = "profile " + name + " was not accepted";
  if (code != result_code::profile_conflict) return refused;
  const auto standing = this->parts.published.read_profile(name);
  if (!standing) return refused;
  const std::uint64_t revision =
      standing.value() ? standing.value()->published.revision : 0;
  return refused + ": it stands at revision " + std::to_string(revision);
}

void admin_listener::list(httplib::Response& response) {
  const auto rows = this->parts.published.read_profiles();
  if (!rows) {
    return write_error(code_of(rows.error()), "profiles can't be read",
                       response);
  }
  Json::Value json(Json::arrayValue);
  for (const auto& row : rows.value()) json.append(summary(row));
  write_json(json, response);
}

void admin_listener::show(const std::string& name,
                          httplib::Response& response) {
  const auto row = this->parts.published.read_profile(name);
  if (!row) {
    return write_error(code_of(row.error()), "the profile can't be read",
                       response);
  }
  if (!row.value()) {
    return write_error(result_code::unknown_profile,
                       "there is no profile " + name, response);
  }
  write_json(summary(*row.value()), response);
}

void admin_listener::history(const std::string& name,
                             httplib::Response& response) {
  const auto rows = this->parts.published.read_history(name);
  if (!rows) {
    return write_error(code_of(rows.error()), "the history can't be read",
                       response);
  }
  Json::Value json(Json::arrayValue);
  for (const auto& row : rows.value()) json.append(summary(row));
  write_json(json, response);
}

void admin_listener::status(httplib::Response& response) {
  Json::Value fleet_status(Json::objectValue);
  fleet_status["routers"] = Json::Value(Json::arrayValue);
  const auto own = router_status(this->parts.members, this->parts.config,
                                 this->parts.home, this->parts.call_timeout);
  if (own) fleet_status["routers"].append(own.value());
  const auto listed = this->parts.members.listed();
  for (const auto& vm : listed) {
    if (vm.role != vm_role::router) continue;
    if (vm.id == this->parts.members.self().id) continue;
    const auto status = this->parts.rpc.call(vm.control, "peer.status",
                                             Json::Value(Json::objectValue),
                                             this->parts.call_timeout);
    Json::Value unanswered(Json::objectValue);
    unanswered["router"] = vm.id;
    unanswered["unreachable"] = true;
    fleet_status["routers"].append(status ? status.value() : unanswered);
  }
  write_json(fleet_status, response);
}

void admin_listener::explain(const std::string& what,
                             httplib::Response& response) {
  const bool is_target =
      decide::is_model_target(what) || what.starts_with(decide::pool_prefix);
  if (is_target) return write_result(this->explain_target(what), response);
  const auto known = this->parts.config.current()->spec_of(what);
  if (known != nullptr) {
    return write_result(this->explain_target(decide::model_target(what)),
                        response);
  }
  write_result(this->explain_request(what), response);
}

result<Json::Value> admin_listener::explain_target(const std::string& target) {
  const auto homes =
      this->parts.members.homes(target, 1, time_point::clock::now());
  if (homes.empty()) return make_error_code(result_code::home_unreachable);
  Json::Value params(Json::objectValue);
  params["target"] = target;
  auto found =
      homes.front().id == this->parts.members.self().id
          ? explain_here(this->parts.home, target, this->parts.call_timeout)
          : this->parts.rpc.call(homes.front().control, "home.explain", params,
                                 this->parts.call_timeout);
  if (found) found.value()["home"] = homes.front().id;
  return found;
}

result<Json::Value> admin_listener::explain_request(const std::string& id) {
  Json::Value params(Json::objectValue);
  params["id"] = id;
  Json::Value json;
  const auto own = this->parts.log.find(id);
  if (own) json = wire::to_json(*own);
  for (const auto& vm : this->parts.members.listed()) {
    if (!json.isNull()) break;
    // A request id begins with the id of the router that took it in.
    if (vm.role != vm_role::router || !id.starts_with(vm.id + "-")) continue;
    const auto found = this->parts.rpc.call(vm.control, "entry.explain", params,
                                            this->parts.call_timeout);
    if (found) json = found.value();
  }
  if (json.isNull()) return make_error_code(result_code::unknown_path);
  const auto target = this->explain_target(json["target"].asString());
  if (!target) return json;
  json["home"] = target.value()["home"];
  json["decisions"] = Json::Value(Json::arrayValue);
  for (const auto& note : target.value()["notes"]) {
    const bool own_note = note["attempt"].asString().starts_with(id + ".");
    if (own_note) json["decisions"].append(note);
  }
  return json;
}

}  // namespace boragehill::router
