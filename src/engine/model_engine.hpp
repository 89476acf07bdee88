#ifndef BORAGEHILL_ENGINE_MODEL_ENGINE_HPP
#define BORAGEHILL_ENGINE_MODEL_ENGINE_HPP

#include <string>

#include <boragehill/backend.hpp>
#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

#include "engine/request_runner.hpp"

namespace boragehill::kernel {
struct plugin_settings;
}

namespace boragehill::engine {

/// A model engine over HTTP, registered as "model_engine".
class model_engine : public backend {
 public:
  /// \param settings Where the engine listens and how long reading its state
  ///   or cancelling may take; orders may take ten minutes.
  explicit model_engine(const kernel::plugin_settings& settings);

  result<engine_state> state() override;
  result<void> carry_out(const engine_order& order) override;
  result<void> run(const backend_request& request, answer_sink& sink) override;
  void cancel(const std::string& attempt) override;

 private:
  endpoint address;
  milliseconds timeout;
  request_runner runner;
};

}  // namespace boragehill::engine

#endif  // BORAGEHILL_ENGINE_MODEL_ENGINE_HPP
