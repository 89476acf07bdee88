#include "standin/service_standin.hpp"

#include <unistd.h>

#include "standin/expected_answer.hpp"
#include "standin/standin_settings.hpp"

namespace boragehill::standin {

service_standin::service_standin(const standin_settings& settings,
                                 standin_server& server)
    : incarnation("service-" + std::to_string(getpid())),
      delay(settings.delay),
      batch(settings.slots, settings.report_lag) {
  server.on("GET", "/service/state", [this](const auto&, auto& response) {
    reply(response, 200, this->state());
  });
  server.on_truth([this] { return this->runs.json(); });
  for (const char* method : {"GET", "POST", "PUT", "PATCH", "DELETE"}) {
    server.on(method, "/.*", [this](const auto& request, auto& response) {
      this->serve(request, response);
    });
  }
}

void service_standin::serve(const httplib::Request& request,
                            httplib::Response& response) {
  const std::string attempt = request.get_header_value("X-Request-Attempt");
  const std::string key = request.get_header_value("Idempotency-Key");
  this->runs.count("received", attempt);
  const std::uint64_t ticket = this->batch.enter(attempt, request.path, 0);
  this->runs.start(attempt, request.body);
  this->runs.count("by_path", request.method + " " + request.path);
  if (!key.empty()) this->runs.count("by_key", key);
  const bool is_done = this->batch.work(ticket, this->delay);
  this->batch.leave(ticket);
  if (!is_done) {
    this->runs.cancel();
    return reply_error(response, 499, "cancelled");
  }
  this->runs.finish();
  Json::Value body;
  body["method"] = request.method;
  body["target"] = request.target;
  body["digest"] = digest_of(request.body);
  body["answer"] =
      expected_service_answer(request.method, request.target, request.body);
  reply(response, 200, body);
}

Json::Value service_standin::state() {
  Json::Value body;
  body["incarnation"] = this->incarnation;
  body["slots"] = this->batch.size();
  body["running"] = this->batch.reported_running();
  return body;
}

}  // namespace boragehill::standin
