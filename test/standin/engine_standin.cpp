#include "standin/engine_standin.hpp"

#include <cstdlib>
#include <unistd.h>

#include "standin/expected_answer.hpp"
#include "standin/generation.hpp"
#include "standin/standin_settings.hpp"

namespace boragehill::standin {

namespace {

std::string code_of(int status) {
  switch (status) {
    case 409:
      return "order_fenced";
    case 502:
      return "load_failed";
    case 507:
      return "no_memory";
    default:
      return "bad_order";
  }
}

int priority_of(const httplib::Request& request) {
  return std::atoi(request.get_header_value("X-Priority").c_str());
}

}  // namespace

engine_standin::engine_standin(const standin_settings& settings,
                               standin_server& server)
    : incarnation("engine-" + std::to_string(getpid())),
      token_time(1.0 / settings.tokens_per_s),
      models(settings),
      batch(settings.slots, settings.report_lag),
      events(settings.lag),
      faults(server.faults()) {
  this->add_orders(server);
  this->add_requests(server);
  server.on_truth([this] { return this->truth(); });
}

void engine_standin::add_orders(standin_server& server) {
  server.on("GET", "/engine/state", [this](const auto&, auto& response) {
    reply(response, 200, this->state());
  });
  server.on("POST", "/engine/orders",
            [this](const auto& request, auto& answer) {
              this->order(body_of(request), answer);
            });
  server.on("POST", "/engine/cancel",
            [this](const auto& request, auto& answer) {
              this->batch.cancel(body_of(request)["attempt"].asString());
              reply(answer, 200, Json::Value(Json::objectValue));
            });
  server.on("GET", "/engine/events", [this](const auto& request, auto& answer) {
    const std::string after = request.get_param_value("after");
    reply(answer, 200,
          this->events.after(std::strtoull(after.c_str(), nullptr, 10)));
  });
  for (const char* path :
       {"/engine/resume", "/engine/kv_export", "/engine/kv_import"}) {
    server.on("POST", path, [](const auto&, auto& response) {
      reply_error(response, 501, "not_supported");
    });
  }
}

void engine_standin::add_requests(standin_server& server) {
  for (const char* path : {"/v1/completions", "/v1/chat/completions"}) {
    server.on("POST", path, [this](const auto& request, auto& response) {
      this->complete(request, response);
    });
  }
}

void engine_standin::order(const Json::Value& order,
                           httplib::Response& response) {
  const std::string model = order["model"].asString();
  if (order["kind"] == "unload" && this->batch.running_of(model) > 0) {
    this->runs.count("unloads_while_running", model);
  }
  const int status = this->models.carry_out(order);
  if (status != 200) return reply_error(response, status, code_of(status));
  reply(response, 200, Json::Value(Json::objectValue));
}

void engine_standin::complete(const httplib::Request& request,
                              httplib::Response& response) {
  const Json::Value body = body_of(request);
  const std::string model = body["model"].asString();
  if (!this->models.is_ready(model)) {
    this->runs.count("not_ready", model);
    return reply_error(response, 409, "model_not_ready");
  }
  const std::string attempt = request.get_header_value("X-Request-Attempt");
  this->runs.count("received", attempt);
  const std::uint64_t ticket =
      this->batch.enter(attempt, model, priority_of(request));
  if (ticket == 0) {
    this->runs.count("cancelled_waiting", attempt);
    return reply_error(response, 499, "cancelled");
  }
  this->runs.start(attempt, request.body);
  const bool is_stream = body.get("stream", false).asBool();
  const generation made{
      .model = model,
      .body = request.body,
      .tokens = body.get("max_tokens", default_tokens).asUInt(),
      .is_chat = request.path.find("/chat/") != std::string::npos,
      .is_cut = is_stream && this->faults.take_cut_stream(),
      .ticket = ticket,
      .slot = std::shared_ptr<void>(
          nullptr, [this, ticket](void*) { this->batch.leave(ticket); })};
  this->events.add(model, digest_of(request.body));
  if (is_stream) return this->answer_stream(made, response);
  this->answer_whole(made, response);
}

void engine_standin::answer_whole(const generation& made,
                                  httplib::Response& response) {
  if (!this->batch.work(made.ticket, this->token_time * made.tokens)) {
    this->runs.cancel();
    return reply_error(response, 499, "cancelled");
  }
  this->runs.finish();
  reply(response, 200, whole_answer(made));
}

void engine_standin::answer_stream(const generation& made,
                                   httplib::Response& response) {
  response.status = 200;
  const auto next = std::make_shared<std::uint32_t>(0);
  response.set_chunked_content_provider(
      "text/event-stream",
      [this, made, next](std::size_t, httplib::DataSink& sink) {
        if (!this->write_next(made, *next, sink)) return false;
        ++*next;
        return true;
      },
      [this, made, next](bool) {
        if (*next <= made.tokens) this->runs.cancel();
      });
}

bool engine_standin::write_next(const generation& made, std::uint32_t index,
                                httplib::DataSink& sink) {
  this->faults.wait_while_frozen();
  if (made.is_cut && index >= made.tokens / 2) return false;
  const bool is_last = index >= made.tokens;
  if (!is_last && !this->batch.work(made.ticket, this->token_time))
    return false;
  const std::string event = stream_event(made, index);
  if (!sink.write(event.data(), event.size())) return false;
  if (!is_last) return true;
  this->runs.finish();
  sink.done();
  return true;
}

Json::Value engine_standin::state() {
  Json::Value body;
  body["incarnation"] = this->incarnation;
  body["slots"] = this->batch.size();
  body["running"] = this->batch.reported_running();
  this->models.add_state(body);
  return body;
}

Json::Value engine_standin::truth() {
  Json::Value body = this->runs.json();
  this->models.add_truth(body);
  return body;
}

}  // namespace boragehill::standin
