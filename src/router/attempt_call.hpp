#ifndef BORAGEHILL_ROUTER_ATTEMPT_CALL_HPP
#define BORAGEHILL_ROUTER_ATTEMPT_CALL_HPP

#include <atomic>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <boragehill/attempt_id.hpp>
#include <boragehill/time_point.hpp>

#include "decide/attempt_result.hpp"
#include "kernel/bounded_ring.hpp"
#include "wire/answer_digest.hpp"
#include "wire/answer_frame.hpp"
#include "wire/permit_answer.hpp"

namespace httplib {
class Client;
}

namespace boragehill::router {

struct accepted_request;

/// One attempt on its way to an agent and its answer back. A thread of its own
/// reads the answer into a bounded ring, so that the caller's status line can
/// wait for the first frame and a slow caller holds the backend server back
/// rather than filling memory.
class attempt_call {
 public:
  /// Sends the attempt, once, on a fresh connection.
  ///
  /// \param request The request.
  /// \param attempt The attempt's id.
  /// \param permit The home's permit.
  /// \param traceparent The span to continue.
  attempt_call(const accepted_request& request, const attempt_id& attempt,
               const wire::permit_answer& permit,
               const std::string& traceparent);

  /// Cancels the attempt if its end was not taken, and joins.
  ~attempt_call();

  attempt_call(const attempt_call&) = delete;
  attempt_call& operator=(const attempt_call&) = delete;

  /// Waits for the next frame.
  ///
  /// \return The frame; nothing at the end, however the attempt ended, or if
  ///   `until` passed first.
  std::optional<wire::answer_frame> next(time_point until);

  /// Returns whether the end was reached: `next` gives no more.
  bool ended() const { return this->finished; }

  /// Returns how the attempt ended; good once `ended()`.
  decide::attempt_result result() const;

  /// Closes the connection, which cancels an idempotent attempt.
  void cancel();

 private:
  void send(const accepted_request& request, const attempt_id& attempt,
            const wire::permit_answer& permit, const std::string& traceparent);
  bool take(wire::answer_frame&& frame);

  std::unique_ptr<httplib::Client> client;
  kernel::bounded_ring<wire::answer_frame> ring;
  wire::answer_digest digest;
  time_point give_up_at;
  /// Written by the reading thread before it closes the ring.
  decide::attempt_result outcome;
  bool complete = false;
  std::atomic<bool> finished{false};
  std::atomic<bool> cancelled{false};
  std::promise<void> reader_ended;
  std::thread reader;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_ATTEMPT_CALL_HPP
