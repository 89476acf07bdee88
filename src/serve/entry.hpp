#ifndef BORAGEHILL_SERVE_ENTRY_HPP
#define BORAGEHILL_SERVE_ENTRY_HPP

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boragehill/result.hpp>

#include "decide/connection_admission.hpp"
#include "decide/response_memory.hpp"
#include "fleet/caller_limits.hpp"
#include "fleet/platform_store.hpp"
#include "fleet/quarantine_row.hpp"
#include "fleet/request_codec.hpp"
#include "kernel/event_loop.hpp"
#include "serve/dispatcher.hpp"
#include "serve/entry_metrics.hpp"
#include "serve/entry_settings.hpp"
#include "serve/load_watch.hpp"
#include "serve/planner_duty.hpp"
#include "serve/planner_finder.hpp"
#include "serve/quarantine_keeper.hpp"
#include "serve/session_host.hpp"
#include "serve/status_server.hpp"

namespace boragehill::serve {

/// The process of an entry VM on the platform's store: takes callers'
/// requests, sends each straight to a backend server, and plans the fleet's
/// residency while it is its turn.
///
/// Threads: `traffic` for all that touches a request, `store` in the plug-in,
/// `planner`, and one each for readiness and metrics.
class entry : public session_host {
 public:
  explicit entry(const entry_settings& settings);
  ~entry() override;

  /// Binds all addresses and begins to serve.
  result<void> start();

  /// Ends gracefully: takes itself out of the balancer first, then its
  /// connections, then waits for what runs, within the settings' time.
  void drain();

  void stop();

  const fleet::caller_limits& limits() const override;
  std::shared_ptr<exchange> begin(
      caller_request request,
      const std::shared_ptr<caller_session>& session) override;
  bool closing() const override { return this->close_connections; }
  bool take_body_memory(std::size_t bytes) override;
  void give_body_memory(std::size_t bytes) override;
  void on_response_bytes(std::size_t before, std::size_t after) override;
  std::size_t response_pause_limit() const override {
    return this->responses.pause_limit();
  }
  void on_bad_input(int status, const char* why) override;
  void on_closed(const caller_session* session) override;

 private:
  void follow_store();
  void accept_when_known(time_point limit);
  void accept();
  /// Takes some of the connections that wait, or closes all of them unread
  /// while the router is overloaded.
  void take_connections();
  /// \return False if no connection waits.
  bool take_connection(time_point now);
  /// Closes all connections that wait, without reading from them.
  void reject_waiting();
  void on_accepted(asio::ip::tcp::socket socket);
  void report_in(milliseconds wait);
  void on_waiting();
  void report();
  void tidy();
  std::vector<std::shared_ptr<caller_session>> open_sessions() const;
  void close_idle();
  /// \return True if a caller's request is being read or may be on its way.
  bool awaits_requests() const;
  void say_goodbye();
  /// Answers all open requests and rejects those that still come.
  void end_requests();
  /// Logs the responses that callers have not taken.
  void log_undelivered() const;
  void on_quarantine(const fleet::quarantine_row& row);
  bool is_ready() const;
  /// Closes connections whose callers don't read, until the memory of all
  /// responses is kept to.
  void free_response_memory();

  entry_settings settings;
  entry_metrics metrics;
  std::unique_ptr<fleet::request_codec> codec;
  std::unique_ptr<fleet::platform_store> store;
  kernel::event_loop loop;
  planner_duty planner;
  dispatcher requests;
  std::unique_ptr<planner_finder> finder;
  quarantine_keeper keeper;
  /// As last read from the store.
  fleet::quarantine_row quarantine;
  asio::ip::tcp::acceptor acceptor;
  load_watch load;
  decide::connection_admission admission;
  asio::steady_timer report_timer;
  asio::steady_timer tidy_timer;
  asio::steady_timer accept_timer;
  status_server readiness;
  status_server scrape;
  fleet::caller_limits caller_limits;
  std::map<const caller_session*, std::weak_ptr<caller_session>> sessions;
  /// Bytes of all request bodies that are read or being served.
  std::size_t body_bytes = 0;
  /// Of all responses that callers haven't taken yet.
  decide::response_memory responses{this->settings.response_memory()};
  bool frees_responses = false;
  /// What the planner that is linked was told last.
  std::optional<decide::demand_report> last_report;
  bool needs_tokens = false;
  /// The last report asked for tokens of quotas.
  bool needs_quotas = false;
  bool knows_quarantine = false;
  bool report_armed = false;
  std::atomic<bool> knows_fleet{false};
  std::atomic<bool> stopping{false};
  std::atomic<bool> close_connections{false};
  /// The process takes no request any more and has none.
  std::atomic<bool> shut{false};
  /// The last requests of a stop are answered.
  std::atomic<bool> quiet{false};
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_ENTRY_HPP
