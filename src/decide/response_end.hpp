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

/// What the end of a response that ended in order says of it.
enum class response_verdict {
  complete,
  /// The server broke it off.
  broken,
  /// It is complete if its server is alive: the kernel ends the connections of
  /// a process that is killed in the same order.
  unconfirmed,
};

/// Judges the end of a response. An event stream that ends inside an event is
/// broken, whatever its frame says, and so is one without a frame that ends
/// before its first event.
response_verdict judge_end(const response_end& end);

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESPONSE_END_HPP
