#include "decide/response_end.hpp"

namespace boragehill::decide {

response_verdict judge_end(const response_end& end) {
  if (!end.is_event_stream) return response_verdict::complete;
  if (end.inside_event) return response_verdict::broken;
  if (!end.unframed) return response_verdict::complete;
  return end.events > 0 ? response_verdict::unconfirmed
                        : response_verdict::broken;
}

}  // namespace boragehill::decide
