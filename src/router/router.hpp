#ifndef BORAGEHILL_ROUTER_ROUTER_HPP
#define BORAGEHILL_ROUTER_ROUTER_HPP

#include <memory>
#include <string>

#include <boragehill/result.hpp>

#include "router/router_settings.hpp"

namespace boragehill::router {

/// The process on an entry VM: it takes callers in, is home of its share of
/// the models, and serves operators.
///
///     router r(settings, token);
///     if (auto started = r.start(); !started) return started.error();
///     wait_for_signal();
///     r.drain();
class router {
 public:
  /// \param settings Checked settings.
  /// \param token The operators' token.
  router(router_settings settings, std::string token);
  ~router();

  router(const router&) = delete;
  router& operator=(const router&) = delete;

  /// Makes the plug-ins, binds the listeners and starts the duties.
  ///
  /// \return Errors: unknown_plugin, address_in_use; nothing runs then.
  result<void> start();

  /// Leaves gracefully: `/readyz` fails for the lame-duck time, then new
  /// requests are refused, queued permits go to their next home, and requests
  /// in flight end, for at most the drain time.
  void drain();

  /// Stops everything. Idempotent.
  void stop();

 private:
  struct inner;
  std::unique_ptr<inner> parts;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_ROUTER_HPP
