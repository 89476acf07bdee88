#include "engine/model_engine.hpp"

#include <json/json.h>
#include <memory>

#include <boragehill/answer_sink.hpp>
#include <boragehill/backend_request.hpp>
#include <boragehill/engine_order.hpp>
#include <boragehill/engine_state.hpp>
#include <boragehill/result_code.hpp>

#include "engine/control_call.hpp"
#include "engine/engine_json.hpp"
#include "kernel/json_text.hpp"
#include "kernel/plugin_settings.hpp"
#include "kernel/registrar.hpp"

namespace boragehill::engine {

namespace {

constexpr milliseconds order_timeout = std::chrono::minutes{10};

const kernel::registrar<backend> registration(
    "model_engine", [](const kernel::plugin_settings& settings) {
      return std::make_unique<model_engine>(settings);
    });

/// Returns what an answered order came to. A 5xx that the engine's interface
/// does not name may come from a fault halfway, so it settles nothing.
result<void> outcome_of(int status) {
  switch (status) {
    case 200:
      return success();
    case 409:
      return result_code::order_fenced;
    case 502:
      return result_code::load_failed;
    case 507:
      return result_code::no_memory;
    default:
      break;
  }
  if (status >= 400 && status < 500) return result_code::engine_refused;
  return result_code::order_unknown;
}

}  // namespace

model_engine::model_engine(const kernel::plugin_settings& settings)
    : address(settings.address),
      timeout(settings.timeout),
      runner(settings.address) {}

result<engine_state> model_engine::state() {
  const auto answer =
      call_backend(this->address, this->timeout, "GET", "/engine/state");
  if (!answer || answer.value().status != 200) return result_code::engine_down;
  auto state = parse_engine_state(answer.value().body);
  if (!state) return result_code::engine_down;
  return std::move(*state);
}

result<void> model_engine::carry_out(const engine_order& order) {
  const auto answer = call_backend(this->address, order_timeout, "POST",
                                   "/engine/orders", write_order(order));
  if (!answer) return answer.error();
  return outcome_of(answer.value().status);
}

result<void> model_engine::run(const backend_request& request,
                               answer_sink& sink) {
  return this->runner.run(request, sink);
}

void model_engine::cancel(const std::string& attempt) {
  this->runner.stop(attempt);
  Json::Value question;
  question["attempt"] = attempt;
  // Nothing hangs on the answer: an engine that missed the call runs the
  // request to its end, and nobody reads what it says.
  static_cast<void>(call_backend(this->address, this->timeout, "POST",
                                 "/engine/cancel",
                                 kernel::write_json(question)));
}

}  // namespace boragehill::engine
