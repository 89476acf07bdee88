#include "standin/standin_server.hpp"

#include <chrono>
#include <cstddef>
#include <cstdlib>
#include <thread>
#include <utility>

#include "kernel/json_text.hpp"
#include "standin/standin_settings.hpp"

namespace boragehill::standin {

namespace {

constexpr std::size_t max_body_bytes = 64U << 20U;
constexpr std::chrono::milliseconds exit_delay{100};
constexpr int crash_status = 86;
/// Longer than any caller waits for an answer that was swallowed.
constexpr std::chrono::seconds swallowed_for{12};

/// Keeps a call without an answer on an open connection.
void swallow(httplib::Response& response) {
  std::this_thread::sleep_for(swallowed_for);
  lose(response);
}

/// Ends the process once the answer is out. Stopping the server would wait for
/// every handler, and a frozen one never ends.
void end_soon() {
  std::thread([] {
    std::this_thread::sleep_for(exit_delay);
    std::_Exit(0);
  }).detach();
}

}  // namespace

standin_server::standin_server(const standin_settings& settings)
    : switched(settings.crash_marker),
      address(settings.address),
      port(settings.port),
      crash_delay(settings.crash_delay) {
  const std::size_t threads = settings.threads;
  this->server.new_task_queue = [threads] {
    return new httplib::ThreadPool(threads);
  };
  this->server.set_payload_max_length(max_body_bytes);
  this->server.set_keep_alive_timeout(settings.keep_alive.count());
  this->server.set_tcp_nodelay(true);
  this->server.Get("/standin/ready", [](const auto&, auto& response) {
    reply(response, 200, Json::Value(Json::objectValue));
  });
  this->on_control("/standin/fault", [this](const auto& request, auto& answer) {
    const bool known = this->switched.set(body_of(request));
    reply(answer, known ? 200 : 400, Json::Value(Json::objectValue));
  });
  this->on_control("/standin/shutdown", [](const auto&, auto& answer) {
    reply(answer, 200, Json::Value(Json::objectValue));
    end_soon();
  });
}

void standin_server::on(const std::string& method, const std::string& pattern,
                        handler handle) {
  auto faulty = [this, handle = std::move(handle)](const auto& request,
                                                   auto& response) {
    this->answer(handle, request, response);
  };
  if (method == "GET") this->server.Get(pattern, faulty);
  if (method == "POST") this->server.Post(pattern, faulty);
  if (method == "PUT") this->server.Put(pattern, faulty);
  if (method == "PATCH") this->server.Patch(pattern, faulty);
  if (method == "DELETE") this->server.Delete(pattern, faulty);
}

void standin_server::on_truth(std::function<Json::Value()> truth) {
  this->server.Get("/standin/truth",
                   [truth = std::move(truth)](const auto&, auto& response) {
                     reply(response, 200, truth());
                   });
}

void standin_server::on_arrival(
    std::function<void(const httplib::Request&)> told) {
  this->arrival = std::move(told);
}

void standin_server::on_crash(
    std::function<void(const httplib::Request&)> told) {
  this->crashing = std::move(told);
}

void standin_server::on_control(const std::string& path, handler handle) {
  this->server.Post(path, std::move(handle));
}

void standin_server::answer(const handler& handle,
                            const httplib::Request& request,
                            httplib::Response& response) {
  this->switched.wait_while_frozen();
  if (this->arrival) this->arrival(request);
  this->switched.delay();
  if (this->switched.is_down()) {
    reply_error(response, 503, "down");
    return;
  }
  const auto silences = this->switched.silences();
  if (this->switched.is_silent()) return swallow(response);
  if (this->switched.crashes_on_body(request.body)) this->crash(request);
  handle(request, response);
  if (this->switched.says_leaving()) response.set_header("Server-Leaving", "1");
  const auto limit = this->switched.limit();
  if (!limit.empty()) response.set_header("Server-Limit", limit);
  this->switched.wait_while_frozen();
  if (this->switched.silences() != silences) return swallow(response);
  if (this->switched.take_lost_answer()) lose(response);
}

void standin_server::crash(const httplib::Request& request) {
  std::this_thread::sleep_for(this->crash_delay);
  if (this->crashing) this->crashing(request);
  std::_Exit(crash_status);
}

bool standin_server::listen() {
  if (!this->server.bind_to_port(this->address, this->port)) return false;
  this->server.widen_listen_queue();
  return this->server.listen_after_bind();
}

fault_switch& standin_server::faults() {
  return this->switched;
}

void lose(httplib::Response& response) {
  response = httplib::Response();
  response.status = 200;
  response.set_content_provider(
      1, "application/json",
      [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

void reply(httplib::Response& response, int status, const Json::Value& body) {
  response.status = status;
  response.set_content(kernel::write_json(body), "application/json");
}

void reply_error(httplib::Response& response, int status,
                 const std::string& code) {
  Json::Value body;
  body["code"] = code;
  body["error"]["code"] = code;
  reply(response, status, body);
}

Json::Value body_of(const httplib::Request& request) {
  auto body = kernel::parse_json(request.body);
  if (!body || !body->isObject()) return Json::Value(Json::objectValue);
  return std::move(*body);
}

}  // namespace boragehill::standin
