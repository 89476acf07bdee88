#ifndef BORAGEHILL_DECIDE_RESTING_SERVERS_HPP
#define BORAGEHILL_DECIDE_RESTING_SERVERS_HPP

#include <map>
#include <optional>
#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// The backend servers that have asked for a rest, each until its end.
///
/// A server that turns requests away looks idle, so it would be chosen before
/// those that work, and each request for it uses up the budget for repeats.
class resting_servers {
 public:
  /// A server wants nothing until then. A rest is never shortened.
  /// \param server Its lifetime.
  /// \return True if it didn't rest.
  bool on_asked(const std::string& server, time_point until, time_point now);

  /// \return The end of its rest; nothing if it doesn't rest.
  std::optional<time_point> until(const std::string& server,
                                  time_point now) const;

  /// \return True if none is known to rest; rests that are over count until
  /// they
  ///     are dropped.
  bool empty() const { return this->rests.empty(); }

  /// A server that falls silent in its rest may have requests, so it is asked
  /// whether it lives.
  /// \return False if it rests and was asked in this rest.
  bool take_question(const std::string& server, time_point now);

  /// Forgets the rests that are over.
  /// \return True if there was one.
  bool drop_ended(time_point now);

 private:
  struct rest {
    time_point end;
    bool asked = false;
  };
  std::map<std::string, rest> rests;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESTING_SERVERS_HPP
