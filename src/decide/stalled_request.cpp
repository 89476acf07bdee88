#include "decide/stalled_request.hpp"

namespace boragehill::decide {

stalled_request_action decide_stalled_request(const stalled_request& request) {
  if (request.movable) return stalled_request_action::move;
  if (request.response_started) return stalled_request_action::wait;
  return request.stalled_for >= request.remaining
             ? stalled_request_action::give_up
             : stalled_request_action::wait;
}

}  // namespace boragehill::decide
