#ifndef BORAGEHILL_DECIDE_RESPONSE_END_HPP
#define BORAGEHILL_DECIDE_RESPONSE_END_HPP

#include <cstddef>

namespace boragehill::decide {

/// What is known of a server's response when it ends.
struct response_end {
  /// Neither a length nor chunks say where it ends; it ends with its
  /// connection.
  bool unframed = false;
  bool is_event_stream = false;
  /// Complete events of this response.
  std::size_t events = 0;
  /// An event has begun and isn't complete.
  bool inside_event = false;

  bool operator==(const response_end&) const = default;
};

/// \return True if a response that ended in order is complete. An event stream
///     that ends inside an event isn't, whatever its frame says, and neither is
///     one without a frame that ends before its first event: nothing tells it
///     from one whose server was lost.
bool is_complete(const response_end& end);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESPONSE_END_HPP
