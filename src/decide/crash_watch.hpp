#ifndef BORAGEHILL_DECIDE_CRASH_WATCH_HPP
#define BORAGEHILL_DECIDE_CRASH_WATCH_HPP

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/crash_tally.hpp"

namespace boragehill::decide {

/// What one router knows of requests that crash backend servers.
///
/// The load it answers: a caller sends the same request again and again, at any
/// router, and each server that begins to run it goes down with all that runs
/// there. Each of its runs is a strike; the planner sums the strikes of all
/// routers up and tells them whom to refuse.
///
/// An innocent request is struck, too: it was in flight at a server that
/// crashed, or its connection was cut. Any whole answer to the same request
/// that this router has seen lately acquits it here, whatever the others say:
/// many callers' requests are alike to the letter, and to refuse them all for
/// three cut connections would be worse than a crash.
class crash_watch {
 public:
  /// Answered requests remembered; at ten a second a router, some minutes.
  static constexpr std::size_t most_answered = 2048;
  /// Struck or convicted requests remembered.
  static constexpr std::size_t most_struck = 256;

  /// A run broke off without an answer's end.
  void on_broken(const std::string& fingerprint, time_point now);

  /// A run ended with a whole answer.
  void on_answered(const std::string& fingerprint);

  /// The planner convicted a request, by the strikes of all routers.
  void on_convicted(const std::string& fingerprint, time_point now);

  /// \return True if the request must not run again.
  bool is_convicted(const std::string& fingerprint, time_point now) const;

  /// \return The strikes since the last call, for the planner.
  std::vector<std::string> take_strikes();

  /// A new planner knows nothing: the strikes of all convicted requests are
  /// told again.
  void tell_again(time_point now);

 private:
  crash_tally struck{most_struck};
  std::unordered_set<std::string> answered;
  std::deque<std::string> answered_by_age;
  std::vector<std::string> untold;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_CRASH_WATCH_HPP
