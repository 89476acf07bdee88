#ifndef BORAGEHILL_DECIDE_SOFTWARE_HISTORY_HPP
#define BORAGEHILL_DECIDE_SOFTWARE_HISTORY_HPP

#include <map>
#include <optional>
#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::fleet {
struct server_list;
}

namespace boragehill::decide {

/// The software versions that the servers of each service have and had.
class software_history {
 public:
  void on_listed(const fleet::server_list& list, time_point now);

  /// \return The version of all servers of a service that were listed at any
  ///     time since then; nothing if there were several or none.
  std::optional<std::string> sole_version(const std::string& service,
                                          time_point since) const;

  /// \return True if the servers are known since then.
  bool covers(time_point since) const {
    return this->begin && *this->begin <= since;
  }

 private:
  struct listing {
    bool is_listed = false;
    time_point last;
  };

  std::optional<time_point> begin;
  /// By service and version.
  std::map<std::string, std::map<std::string, listing>> services;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SOFTWARE_HISTORY_HPP
