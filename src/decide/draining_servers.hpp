#ifndef BORAGEHILL_DECIDE_DRAINING_SERVERS_HPP
#define BORAGEHILL_DECIDE_DRAINING_SERVERS_HPP

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace boragehill::decide {

/// Set of the backend servers that have announced in a response that they are
/// draining.
///
/// The announcement is final for an incarnation of a server. A server list that
/// shows otherwise is older, or the server could not update it. So the
/// announcement outlives the server's entry in the list.
class draining_servers {
 public:
  /// Maximum number of servers; the oldest is removed first.
  static constexpr std::size_t max_remembered = 1024;

  /// Adds a server.
  /// \param server Identifies the incarnation of the server.
  /// \return True if the server was not in the set.
  bool add(const std::string& server);

  bool contains(const std::string& server) const {
    return this->servers.contains(server);
  }

 private:
  std::unordered_set<std::string> servers;
  std::deque<std::string> insertion_order;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_DRAINING_SERVERS_HPP
