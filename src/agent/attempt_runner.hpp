#ifndef BORAGEHILL_AGENT_ATTEMPT_RUNNER_HPP
#define BORAGEHILL_AGENT_ATTEMPT_RUNNER_HPP

#include <cstddef>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

#include "agent/attempt_request.hpp"
#include "decide/attempt_registry.hpp"
#include "wire/answer_frame.hpp"

namespace boragehill {
class backend;
}
namespace boragehill::kernel {
class tracer;
}

namespace boragehill::agent {

class brain_link;
class hang_up_watch;
class kept_answers;

/// Offers attempts to the brain and runs the admitted ones, each on the
/// calling thread. Thread safe.
class attempt_runner {
 public:
  /// What it works with; all must outlive it.
  struct parts {
    backend& engine;
    const brain_link& brain;
    kept_answers& answers;
    hang_up_watch& watch;
    kernel::tracer& tracer;
  };

  /// \param with What it works with.
  /// \param keep_bytes The largest answer to keep a copy of.
  attempt_runner(parts with, std::size_t keep_bytes);

  /// Asks whether an attempt may run. After ok, `run` or `abandon` must
  /// follow once.
  decide::admission_decision offer(const attempt_request& attempt) const;

  /// Runs an admitted attempt to its end.
  ///
  /// \param attempt The attempt.
  /// \param write Writes frames to the router; false once it is gone.
  /// \param connected Whether the router is still there.
  void run(const attempt_request& attempt,
           std::function<bool(std::string_view)> write,
           std::function<bool()> connected);

  /// Ends an admitted attempt that was never sent to the backend server.
  void abandon(const attempt_request& attempt) const;

  /// Sends no more attempts to the backend server, cancels those that run
  /// there, and returns once none does.
  void cut_off();

 private:
  /// Notes that an attempt is about to be sent; false once all is cut off.
  bool enter(const std::string& attempt);
  void leave(const std::string& attempt);

  std::mutex mutex;
  std::set<std::string> running;
  bool closed = false;
  parts with;
  std::size_t keep_bytes;
};

/// Returns the frame that tells a router of a refused attempt.
wire::frame_failure refusal_frame(const decide::admission_decision& verdict);

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_ATTEMPT_RUNNER_HPP
