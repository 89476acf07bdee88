#ifndef BORAGEHILL_ENGINE_PLAIN_SERVICE_HPP
#define BORAGEHILL_ENGINE_PLAIN_SERVICE_HPP

#include <string>

#include <boragehill/backend.hpp>
#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

#include "engine/request_runner.hpp"

namespace boragehill::kernel {
struct plugin_settings;
}

namespace boragehill::engine {

/// A plain service over HTTP, registered as "plain_service". It holds no
/// models and takes no orders.
class plain_service : public backend {
 public:
  /// \param settings Where the service listens and how long reading its state
  ///   may take.
  explicit plain_service(const kernel::plugin_settings& settings);

  result<engine_state> state() override;

  /// \return not_supported, always.
  result<void> carry_out(const engine_order& order) override;

  result<void> run(const backend_request& request, answer_sink& sink) override;

  /// Closes the attempt's connection, which is all that a service sees of it.
  void cancel(const std::string& attempt) override;

 private:
  endpoint address;
  milliseconds timeout;
  request_runner runner;
};

}  // namespace boragehill::engine

#endif  // BORAGEHILL_ENGINE_PLAIN_SERVICE_HPP
