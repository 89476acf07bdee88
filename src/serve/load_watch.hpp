#ifndef BORAGEHILL_SERVE_LOAD_WATCH_HPP
#define BORAGEHILL_SERVE_LOAD_WATCH_HPP

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <utility>

#include <boragehill/time_point.hpp>

#include "decide/overload_detector.hpp"

namespace boragehill::serve {

class entry_metrics;

/// Measures a router's own load: how late its traffic thread is, and how much
/// of its link is in use. Runs on that thread.
class load_watch {
 public:
  /// \param link_mbps What the link carries, in megabits a second.
  load_watch(asio::io_context& context, entry_metrics& metrics,
             double link_mbps);

  /// \return True if a new connection would make late what is under way.
  bool rejects_new() const {
    return this->detector.delay_stands() || this->detector.link_full();
  }

  /// Sets what is called when connections wait to be accepted all the time.
  void on_standing_queue(std::function<void()> told) {
    this->queue_stands = std::move(told);
  }

  /// Begins to measure.
  void start();

  /// \return What the router has too little of for its load; nothing if it can
  ///     bear it.
  std::optional<decide::overload_cause> overload() const {
    return this->detector.cause();
  }

  /// Connections were accepted, and others still wait.
  void on_queue_left() { this->queue_left = true; }
  /// No connection waits to be accepted.
  void on_queue_empty() { this->queue_empty = true; }

  /// Counts a connection that was closed unread because of the load.
  void on_rejected();

 private:
  void measure_in(milliseconds wait);
  void measure();
  void log_overload(time_point now);
  void log_began(decide::overload_cause cause, time_point now);

  asio::steady_timer timer;
  entry_metrics& metrics;
  decide::overload_detector detector;
  std::function<void()> queue_stands;
  /// Since the last sample.
  bool queue_left = false;
  bool queue_empty = false;
  /// When the overload began, until its end is logged.
  std::optional<time_point> began;
  time_point last_overloaded;
  /// Connections that were closed unread since then.
  int rejected = 0;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_LOAD_WATCH_HPP
