#ifndef BORAGEHILL_DECIDE_RETRY_AFTER_SERVERS_HPP
#define BORAGEHILL_DECIDE_RETRY_AFTER_SERVERS_HPP

#include <map>
#include <optional>
#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// The backend servers that have rejected a request with Retry-After, each with
/// the end of its retry-after period.
///
/// A server that rejects requests looks idle, so it would be preferred to
/// working servers, and each request sent there would use up retry budget.
class retry_after_servers {
 public:
  /// Starts the retry-after period of a server, or extends it; a period is
  /// never shortened.
  /// \param server Identifies the incarnation of the server.
  /// \param until End of the period.
  /// \return True if the server was not in a retry-after period.
  bool on_retry_after(const std::string& server, time_point until,
                      time_point now);

  /// \return End of the server's retry-after period; nothing if it is in none.
  std::optional<time_point> until(const std::string& server,
                                  time_point now) const;

  /// \return True if no period is stored. Expired periods count until they are
  ///     dropped.
  bool empty() const { return this->periods.empty(); }

  /// Claims a probe of a server whose responses have stalled. During its
  /// retry-after period it may still have requests, so one probe is allowed.
  /// \return False if the probe of the current period has been claimed already.
  bool claim_probe(const std::string& server, time_point now);

  /// Removes the expired periods.
  /// \return True if there was one.
  bool drop_expired(time_point now);

 private:
  struct period {
    time_point end;
    bool is_probed = false;
  };
  std::map<std::string, period> periods;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RETRY_AFTER_SERVERS_HPP
