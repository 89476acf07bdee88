#include "decide/silent_wait.hpp"

namespace boragehill::decide {

silent_wait_step judge_silent_wait(const silent_wait& request) {
  if (request.movable) return silent_wait_step::move;
  if (request.begun) return silent_wait_step::wait;
  return request.silent >= request.remaining ? silent_wait_step::give_up
                                             : silent_wait_step::wait;
}

}  // namespace boragehill::decide
