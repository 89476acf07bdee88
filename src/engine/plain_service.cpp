#include "engine/plain_service.hpp"

#include <memory>

#include <boragehill/answer_sink.hpp>
#include <boragehill/backend_request.hpp>
#include <boragehill/engine_order.hpp>
#include <boragehill/engine_state.hpp>
#include <boragehill/result_code.hpp>

#include "engine/control_call.hpp"
#include "engine/engine_json.hpp"
#include "kernel/plugin_settings.hpp"
#include "kernel/registrar.hpp"

namespace boragehill::engine {

namespace {

const kernel::registrar<backend> registration(
    "plain_service", [](const kernel::plugin_settings& settings) {
      return std::make_unique<plain_service>(settings);
    });

}  // namespace

plain_service::plain_service(const kernel::plugin_settings& settings)
    : address(settings.address),
      timeout(settings.timeout),
      runner(settings.address) {}

result<engine_state> plain_service::state() {
  const auto answer =
      call_backend(this->address, this->timeout, "GET", "/service/state");
  if (!answer || answer.value().status != 200) return result_code::engine_down;
  auto state = parse_service_state(answer.value().body);
  if (!state) return result_code::engine_down;
  return std::move(*state);
}

result<void> plain_service::carry_out(const engine_order&) {
  return result_code::not_supported;
}

result<void> plain_service::run(const backend_request& request,
                                answer_sink& sink) {
  return this->runner.run(request, sink);
}

void plain_service::cancel(const std::string& attempt) {
  this->runner.stop(attempt);
}

}  // namespace boragehill::engine
