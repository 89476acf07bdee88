#ifndef BORAGEHILL_DECIDE_STOP_GATE_HPP
#define BORAGEHILL_DECIDE_STOP_GATE_HPP

#include <optional>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Which requests a router still sends to a server while it stops.
///
/// The balancer needs some seconds to send callers elsewhere, so what comes
/// until then is served. What comes later is served only if it surely ends
/// before the process does: a longer one would be cut off in the middle, and,
/// refused at once, its caller finds another router in a moment. Refusing all
/// of it would be worse where all routers are stopped in quick succession:
/// then a caller that is sent away meets only others that stop. A request that
/// waits for a server uses up its time, so it is judged until it is sent.
class stop_gate {
 public:
  /// The balancer asks once a second and takes a process out of the rotation
  /// after two misses; the rest is the way there.
  static constexpr milliseconds balancer_notices{2900};

  /// The stop begins.
  /// \param until When the process ends.
  void close(time_point now, time_point until);

  /// Nothing is open any more, and the process ends: from now on all is
  /// refused, so that no request is taken in the last moment and cut off.
  void shut() { this->shut_for_good = true; }

  /// \param needs From a send to the end of the answer.
  /// \param start When a server gets the request at the earliest.
  /// \return True if it must be refused.
  bool refuses(milliseconds needs, time_point start) const;

 private:
  std::optional<time_point> began;
  time_point end;
  bool shut_for_good = false;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STOP_GATE_HPP
