#include "decide/response_end.hpp"

namespace boragehill::decide {

bool is_complete(const response_end& end) {
  return !end.is_event_stream || !end.inside_event;
}

}  // namespace boragehill::decide
