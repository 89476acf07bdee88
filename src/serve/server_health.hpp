#ifndef BORAGEHILL_SERVE_SERVER_HEALTH_HPP
#define BORAGEHILL_SERVE_SERVER_HEALTH_HPP

#include <map>
#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::serve {

/// Which servers failed lately. Such a server is used only where no other is
/// left, for a while that doubles with each failure.
///
/// Answers a server that crashed or lost its path: the platform lists it for
/// seconds longer, and each request sent there is lost or late.
class server_health {
 public:
  /// A server was not reached, or broke an answer off.
  void on_failure(const std::string& server, time_point now);
  bool suspect(const std::string& server, time_point now) const;
  void forget(const std::string& server) { this->failures.erase(server); }

 private:
  struct failure_state {
    int count = 0;
    time_point until;
  };
  std::map<std::string, failure_state> failures;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_SERVER_HEALTH_HPP
