#ifndef BORAGEHILL_DECIDE_LEAVING_SERVERS_HPP
#define BORAGEHILL_DECIDE_LEAVING_SERVERS_HPP

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace boragehill::decide {

/// The backend servers that have said in an answer that they leave.
///
/// Such a word is final for its lifetime: a list that tells otherwise is older,
/// or the server couldn't write there. So it outlives the server's entry.
class leaving_servers {
 public:
  /// Servers remembered; the oldest is forgotten first.
  static constexpr std::size_t most = 1024;

  /// \param server Its lifetime.
  /// \return True if that is news.
  bool on_told(const std::string& server);

  bool contains(const std::string& server) const {
    return this->told.contains(server);
  }

 private:
  std::unordered_set<std::string> told;
  std::deque<std::string> by_age;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_LEAVING_SERVERS_HPP
