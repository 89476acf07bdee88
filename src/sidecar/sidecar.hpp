#ifndef BORAGEHILL_SIDECAR_SIDECAR_HPP
#define BORAGEHILL_SIDECAR_SIDECAR_HPP

#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include <boragehill/result.hpp>

#include "decide/stream_origins.hpp"
#include "decide/worker_orders.hpp"
#include "fleet/platform_store.hpp"
#include "fleet/worker_control.hpp"
#include "kernel/event_loop.hpp"
#include "serve/status_server.hpp"
#include "sidecar/sidecar_metrics.hpp"
#include "sidecar/sidecar_settings.hpp"
#include "wire/link_listener.hpp"
#include "wire/worker_status.hpp"
#include "wire/worker_target.hpp"

namespace boragehill::sidecar {

/// The process beside a model worker on the platform's store. It alone orders
/// that worker: it follows the planner's target as far as the worker's own
/// fresh report, its memory and the order of orders allow.
///
/// Threads: `agent` for its state, `store` and `worker` in the plug-ins, and
/// one for metrics.
class sidecar {
 public:
  explicit sidecar(const sidecar_settings& settings);
  ~sidecar();
  sidecar(const sidecar&) = delete;
  sidecar& operator=(const sidecar&) = delete;

  /// Binds its address and begins to work.
  result<void> start();
  void stop();

 private:
  void take_fence();
  void on_planner(const std::shared_ptr<wire::message_link>& link);
  void on_target(const std::shared_ptr<wire::message_link>& link,
                 const wire::worker_target& news);
  /// Keeps streams for the next planner.
  void keep_streams(const wire::worker_target& news);
  void ask_report();
  void on_report(const result<fleet::worker_report>& news);
  void order();
  void tell();

  sidecar_settings settings;
  sidecar_metrics metrics;
  std::unique_ptr<fleet::platform_store> store;
  std::unique_ptr<fleet::worker_control> worker;
  kernel::event_loop loop;
  wire::link_listener listener;
  asio::steady_timer report_timer;
  asio::steady_timer fence_timer;
  serve::status_server scrape;
  decide::worker_orders orders;
  decide::stream_origins streams;
  std::set<std::shared_ptr<wire::message_link>> planners;
  std::int64_t term = 0;
  wire::worker_status status;
  wire::worker_status told;
  time_point told_time;
  int failed_reports = 0;
  bool asking = false;
  bool ask_again = false;
};

}  // namespace boragehill::sidecar

#endif  // BORAGEHILL_SIDECAR_SIDECAR_HPP
