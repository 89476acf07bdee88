#include "router/caller_listener.hpp"

#include <httplib.h>
#include <json/json.h>
#include <utility>

#include "decide/catalog.hpp"
#include "kernel/bounded_task_queue.hpp"
#include "kernel/event_log.hpp"
#include "kernel/http_server.hpp"
#include "router/conviction_book.hpp"
#include "router/fleet.hpp"
#include "router/live_answer.hpp"
#include "router/published_config.hpp"
#include "router/refusal_response.hpp"
#include "router/request_log.hpp"
#include "router/router_metrics.hpp"

namespace boragehill::router {

namespace {

constexpr int keep_alive_seconds = 2;
constexpr int read_timeout_seconds = 10;
constexpr milliseconds unready_retry{1000};

/// Counts a request in flight for as long as it lives.
class flight_guard {
 public:
  explicit flight_guard(std::atomic<std::int64_t>& count) : count(count) {
    ++this->count;
  }
  ~flight_guard() { --this->count; }
  flight_guard(const flight_guard&) = delete;
  flight_guard& operator=(const flight_guard&) = delete;

 private:
  std::atomic<std::int64_t>& count;
};

}  // namespace

caller_listener::caller_listener(listener_limits bounds, driver_parts& owner,
                                 published_config& published,
                                 conviction_book& book, request_log& records)
    : limits(std::move(bounds)),
      parts(owner),
      config(published),
      convictions(book),
      log(records),
      requests(this->limits.default_deadline),
      server(std::make_unique<kernel::http_server>()) {
  this->server->new_task_queue = [this] {
    return new kernel::bounded_task_queue("callers", this->limits.threads,
                                          this->limits.waiting);
  };
  this->server->set_payload_max_length(this->limits.max_body_bytes);
  this->server->set_keep_alive_timeout(keep_alive_seconds);
  this->server->set_read_timeout(read_timeout_seconds);
  this->server->set_tcp_nodelay(true);
  this->add_routes();
  this->add_service_routes();
}

caller_listener::~caller_listener() {
  this->stop();
}

result<void> caller_listener::start() {
  const bool bound = this->server->bind_to_port(this->limits.listen.address,
                                                this->limits.listen.port);
  if (!bound) return make_error_code(result_code::address_in_use);
  this->server->widen_listen_queue();
  this->listening = std::thread([this] { this->server->listen_after_bind(); });
  return success();
}

void caller_listener::stop() {
  if (!this->listening.joinable()) return;
  this->server->stop();
  this->listening.join();
}

std::optional<refusal> caller_listener::unready() const {
  if (this->draining) {
    return refusal{result_code::draining, ran_state::no, unready_retry,
                   "this router is leaving"};
  }
  const auto peers = this->parts.members.listed_peers();
  const auto state = this->config.readiness(peers, time_point::clock::now());
  if (state == decide::revision_readiness::ready) return std::nullopt;
  const char* reason = "the configuration in force is not confirmed";
  if (state == decide::revision_readiness::no_catalog) {
    reason = "no configuration is in force yet";
  }
  if (state == decide::revision_readiness::paused) {
    reason = "this router was paused and has not caught up";
  }
  return refusal{result_code::not_ready, ran_state::no, unready_retry, reason};
}

void caller_listener::add_routes() {
  const auto model_call = [this](const httplib::Request& raw,
                                 httplib::Response& response) {
    this->serve(raw, response, [this](const httplib::Request& r) {
      return this->requests.read_model_call(r, *this->config.current(),
                                            time_point::clock::now());
    });
  };
  this->server->Post("/v1/completions", model_call);
  this->server->Post("/v1/chat/completions", model_call);
  this->server->Get("/v1/models", [this](const auto& raw, auto& response) {
    this->list_models(raw, response);
  });
  this->server->Get("/healthz", [](const auto&, auto& response) {
    response.set_content("ok\n", "text/plain");
  });
  this->server->Get("/readyz", [this](const auto&, auto& response) {
    auto refused = this->unready();
    if (!refused && this->lame_duck) {
      refused = refusal{result_code::draining, ran_state::no, unready_retry,
                        "this router is leaving"};
    }
    if (refused) return write_refusal(*refused, response);
    response.set_content("ready\n", "text/plain");
  });
  this->server->Get("/metrics", [this](const auto&, auto& response) {
    response.set_content(this->parts.metrics.text(),
                         "text/plain; version=0.0.4");
  });
  this->server->set_error_handler(
      [this](const httplib::Request& raw, httplib::Response& response) {
        this->explain_failure(raw, response);
      });
}

void caller_listener::add_service_routes() {
  const std::string pattern = R"(/services/([^/]+)(/.*)?)";
  const auto call = [this](const httplib::Request& raw,
                           httplib::Response& response) {
    this->serve(raw, response, [this](const httplib::Request& r) {
      return this->requests.read_service_call(r, *this->config.current(),
                                              time_point::clock::now());
    });
  };
  this->server->Get(pattern, call);
  this->server->Post(pattern, call);
  this->server->Put(pattern, call);
  this->server->Patch(pattern, call);
  this->server->Delete(pattern, call);
}

void caller_listener::serve(const httplib::Request& raw,
                            httplib::Response& response, const reader& read) {
  if (kernel::bounded_task_queue::overloaded()) {
    return this->write(
        refusal{result_code::router_overloaded, ran_state::no, unready_retry,
                "this router serves as many requests as it can"},
        response);
  }
  if (const auto refused = this->unready()) {
    return this->write(*refused, response);
  }
  auto request = read(raw);
  if (const auto* refused = std::get_if<refusal>(&request)) {
    return this->write(*refused, response);
  }
  this->serve(std::get<accepted_request>(std::move(request)),
              caller_watch(raw.remote_addr, raw.remote_port), response);
}

void caller_listener::serve(accepted_request request, caller_watch caller,
                            httplib::Response& response) {
  if (this->convictions.contains(request.fingerprint)) {
    return this->write(
        refusal{result_code::request_convicted, ran_state::no, milliseconds{0},
                "this request crashed backend servers before"},
        response);
  }
  const flight_guard flying(this->running);
  this->parts.metrics.on_accepted();
  const std::uint64_t sequence = this->next_sequence++;
  request_record record{
      .id = this->parts.incarnation + "." + std::to_string(sequence),
      .service = request.service,
      .target = request.target,
      .ending = "answered"};
  response.set_header("Boragehill-Request", record.id);
  const time_point began = request.accepted_at;
  request_driver driver(this->parts, std::move(request), sequence,
                        std::move(caller));
  auto outcome = driver.run();
  if (const auto* refused = std::get_if<refusal>(&outcome)) {
    record.ending = std::string(name_of(refused->code));
    record.message = refused->message;
  }
  record.took_ms =
      std::chrono::duration_cast<milliseconds>(time_point::clock::now() - began)
          .count();
  if (record.ending == "answered") {
    kernel::log_event(kernel::event::request_answered,
                      {{"request", record.id},
                       {"target", record.target},
                       {"took_ms", record.took_ms}});
  }
  this->log.add(std::move(record));
  std::visit([&](auto&& each) { this->write(each, response); },
             std::move(outcome));
}

void caller_listener::list_models(const httplib::Request& raw,
                                  httplib::Response& response) {
  const auto published = this->config.current();
  const auto* owner = published->profile_of(raw.get_header_value("X-Service"));
  if (owner == nullptr) {
    return this->write(
        refusal{result_code::unknown_service, ran_state::no, milliseconds{0},
                "no profile names this service"},
        response);
  }
  Json::Value list(Json::objectValue);
  list["object"] = "list";
  list["data"] = Json::Value(Json::arrayValue);
  const auto add = [&](const std::string& id) {
    Json::Value model(Json::objectValue);
    model["id"] = id;
    model["object"] = "model";
    model["owned_by"] = owner->name;
    list["data"].append(model);
  };
  for (const auto& model : owner->models) {
    add(model.name);
    for (const auto& adapter : model.adapters) add(model.name + ":" + adapter);
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  response.set_content(Json::writeString(builder, list), "application/json");
}

void caller_listener::write(const whole_answer& answer,
                            httplib::Response& response) {
  response.status = answer.status;
  response.set_header("Boragehill-Ran", "yes");
  response.set_content(answer.body, answer.content_type);
}

void caller_listener::write(const std::shared_ptr<live_answer>& answer,
                            httplib::Response& response) {
  response.set_header("Boragehill-Ran", "yes");
  const auto flying = std::make_shared<flight_guard>(this->running);
  response.set_chunked_content_provider(
      answer->content_type(),
      [this, answer, flying](std::size_t, httplib::DataSink& sink) {
        const auto result = answer->pump([&](std::string_view bytes) {
          return sink.write(bytes.data(), bytes.size());
        });
        if (result.ending == decide::attempt_ending::complete) {
          sink.done();
          return true;
        }
        const refusal broken{result.code, ran_state::unknown, milliseconds{0},
                             "the answer broke off on the way"};
        this->parts.metrics.on_refused(result.code);
        // The caller must not take what it has for the whole answer: it gets
        // an error event, and the chunked body is left without its end.
        const std::string event = "data: " + refusal_json(broken) + "\n\n";
        sink.write(event.data(), event.size());
        return false;
      });
}

void caller_listener::write(const refusal& refused,
                            httplib::Response& response) {
  this->parts.metrics.on_refused(refused.code);
  const auto event = refused.ran == ran_state::unknown
                         ? kernel::event::outcome_unknown
                         : kernel::event::request_refused;
  kernel::log_event(event, {{"code", make_error_code(refused.code)},
                            {"ran", name_of(refused.ran)},
                            {"reason", refused.message}});
  write_refusal(refused, response);
}

void caller_listener::explain_failure(const httplib::Request& raw,
                                      httplib::Response& response) {
  // A backend server's own error answer, or a refusal written before.
  if (response.has_header("Boragehill-Ran")) return;
  refusal refused{result_code::malformed_request, ran_state::no,
                  milliseconds{0}, "the request can't be read"};
  if (response.status == 404) {
    refused.code = result_code::unknown_path;
    refused.message = "nothing is served at " + raw.path;
  }
  if (response.status == 413) {
    refused.code = result_code::body_too_large;
    refused.message = "the body is over " +
                      std::to_string(this->limits.max_body_bytes) + " bytes";
  }
  this->write(refused, response);
}

}  // namespace boragehill::router
