#ifndef BORAGEHILL_DECIDE_SEND_RECORD_HPP
#define BORAGEHILL_DECIDE_SEND_RECORD_HPP

#include <set>
#include <string>

#include "fleet/repeat_rule.hpp"

namespace boragehill::decide {

/// The attempts of one request, and whether another one is allowed.
///
/// A non-idempotent request runs at most once, so it is sent to a second server
/// only if it is proved that none ran it. The only proofs are the server's own
/// statement and a connection that failed before a byte was sent.
class send_record {
 public:
  /// \param rule Which requests may run more than once.
  /// \param resumable True if another server may continue the response.
  /// \param attempts The maximum number of servers that may run the request.
  send_record(fleet::repeat_rule rule, bool resumable, int attempts);

  /// Records that the request is sent to a server.
  void on_send(const std::string& server);
  /// Records proof that the last server did not run the request.
  /// \param ask_again True if it may be sent there again: this router's view of
  ///     the server was wrong, or the server gave a retry-after period.
  void on_not_run(bool ask_again);
  /// Records that the last server may have run the request.
  void on_perhaps_run();

  /// \return True if the request may be sent to a server.
  bool may_send() const;
  /// \return True if the request may be sent to another server after the
  /// current
  ///     one responded with a failure.
  bool may_repeat_failure() const;
  /// \return True if the request may be sent to another server while the
  /// current
  ///     one may still run it.
  bool may_move() const;
  /// \return True if no server has run the request or may still run it.
  bool surely_not_run() const { return this->runs == 0 && !this->out; }
  /// \return True if the request was sent at least once.
  bool sent() const { return this->sends > 0; }
  int send_count() const { return this->sends; }
  /// \return True if the request was sent to that server, which did not
  /// complete
  ///     it and must not be chosen again.
  bool tried(const std::string& server) const {
    return this->servers.contains(server);
  }
  /// \return True if that server's response was interrupted and can be resumed.
  ///     Such a server is chosen again if no other has the model: otherwise
  ///     interrupted streams waited 16 s for another server and were refused.
  bool broke_off(const std::string& server) const {
    return this->broken.contains(server);
  }

 private:
  /// \return True if another run can continue an interrupted response.
  bool goes_on() const;
  /// \return True if the request may run more than once.
  bool repeatable() const;

  fleet::repeat_rule rule;
  bool resumable;
  int attempts;
  int sends = 0;
  int runs = 0;
  bool out = false;
  std::set<std::string> servers;
  std::set<std::string> broken;
  std::string last;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SEND_RECORD_HPP
