#ifndef BORAGEHILL_SERVE_LOAD_WATCH_HPP
#define BORAGEHILL_SERVE_LOAD_WATCH_HPP

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <optional>

#include <boragehill/time_point.hpp>

#include "decide/overload_detector.hpp"

namespace boragehill::serve {

class entry_metrics;

/// Measures a router's own load: how late its traffic thread is, and how much
/// of its link is in use. Runs on that thread.
class load_watch {
 public:
  /// \param acceptor Where callers connect.
  /// \param link_mbps What the link carries, in megabits a second.
  load_watch(asio::ip::tcp::acceptor& acceptor, entry_metrics& metrics,
             double link_mbps);

  /// Begins to measure.
  void start();

  /// \return What the router has too little of for its load; nothing if it can
  ///     bear it.
  std::optional<decide::overload_cause> overload() const {
    return this->detector.cause();
  }

  /// Counts a connection that was closed unread because of the load.
  void on_rejected();

 private:
  void measure_in(milliseconds wait);
  void measure();
  void log_change(bool was_overloaded, time_point now);

  asio::ip::tcp::acceptor& acceptor;
  asio::steady_timer timer;
  entry_metrics& metrics;
  decide::overload_detector detector;
  /// When the overload began, while there is one.
  time_point began;
  /// Connections that were closed unread since then.
  int rejected = 0;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_LOAD_WATCH_HPP
