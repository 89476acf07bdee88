#ifndef BORAGEHILL_ROUTER_ATTEMPT_FOLLOWER_HPP
#define BORAGEHILL_ROUTER_ATTEMPT_FOLLOWER_HPP

#include <variant>

#include <boragehill/time_point.hpp>

#include "decide/attempt_result.hpp"
#include "decide/flow_step.hpp"
#include "wire/answer_frame.hpp"

namespace boragehill::router {

class attempt_call;
class caller_watch;
struct accepted_request;
struct driver_parts;

/// Waits for an attempt's frames and meanwhile looks after what a blocking
/// read can't see: the deadline, a caller that hung up, an agent that is
/// frozen or whose whole VM went down.
class attempt_follower {
 public:
  /// \param parts The router's parts.
  /// \param request The request; outlives the follower.
  /// \param caller The caller's connection.
  /// \param step The dispatch that is followed.
  attempt_follower(driver_parts& parts, const accepted_request& request,
                   caller_watch& caller, const decide::dispatch& step);

  /// Waits for the next frame.
  ///
  /// \return The frame, or how the attempt ended.
  std::variant<wire::answer_frame, decide::attempt_result> next(
      attempt_call& call);

 private:
  decide::attempt_result end_of(const attempt_call& call);
  decide::attempt_result abandon(decide::attempt_ending ending,
                                 result_code code);
  bool seems_frozen(time_point now);
  bool agent_answers();

  driver_parts& parts;
  const accepted_request& request;
  caller_watch& caller;
  decide::dispatch step;
  time_point heard_at;
  int unanswered = 0;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_ATTEMPT_FOLLOWER_HPP
