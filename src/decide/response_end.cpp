#include "decide/response_end.hpp"

namespace boragehill::decide {

bool is_complete(const response_end& end) {
  if (!end.is_event_stream) return true;
  if (end.inside_event) return false;
  return !end.unframed || end.events > 0;
}

}  // namespace boragehill::decide
