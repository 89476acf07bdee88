#ifndef BORAGEHILL_DECIDE_ATTEMPT_HISTORY_HPP
#define BORAGEHILL_DECIDE_ATTEMPT_HISTORY_HPP

#include <set>
#include <string>

#include "fleet/repeat_rule.hpp"

namespace boragehill::decide {

/// The attempts of one request, and whether another one is allowed.
///
/// A non-idempotent request runs at most once, so it is sent to a second server
/// only if it is proved that none ran it. The only proofs are the server's own
/// statement and a connection that failed before a byte was sent.
class attempt_history {
 public:
  /// \param rule Which requests may run more than once.
  /// \param resumable True if another server may continue the response.
  /// \param max_runs The maximum number of servers that may run the request.
  attempt_history(fleet::repeat_rule rule, bool resumable, int max_runs);

  /// Records that the request is sent to a server.
  void on_attempt(const std::string& server);
  /// Records that the last server was not reached.
  void on_unsent();
  /// Records proof that the last server did not run the request.
  /// \param may_try_again True if it may be sent there again: this router's
  ///     view of the server was wrong, or the server gave a retry-after period.
  void on_not_run(bool may_try_again);
  /// Records that the last server may have run the request.
  void on_possible_run();

  /// \return True if the request may be sent to a server.
  bool may_attempt() const;
  /// \return True if the request may be sent to another server after the
  ///     current one responded with a failure.
  bool may_retry_failure() const;
  /// \return True if the request may be sent to another server while the
  ///     current one may still run it.
  bool may_reassign() const;
  /// \return True if no server has run the request or may still run it.
  bool is_known_not_run() const {
    return this->possible_runs == 0 && !this->is_in_flight;
  }
  /// \return True if the request may run more than once.
  bool may_run_again() const;
  bool was_attempted() const { return this->attempts_made > 0; }
  /// \return True if a server may have received the request, so that another
  ///     attempt adds to the load of the service.
  bool may_have_arrived() const { return this->possible_arrivals > 0; }
  int attempt_count() const { return this->attempts_made; }
  /// \return True if the request was sent to that server, which did not
  ///     complete it and must not be chosen again.
  bool has_tried(const std::string& server) const {
    return this->tried_servers.contains(server);
  }
  /// \return True if the request was sent to that server before, whatever came
  ///     of it.
  bool was_sent_to(const std::string& server) const {
    return this->sent_servers.contains(server);
  }
  /// \return True if that server's response was interrupted and can be resumed.
  ///     Such a server is chosen again if no other has the model: otherwise
  ///     interrupted streams waited 16 s for another server and were refused.
  bool was_interrupted_by(const std::string& server) const {
    return this->interrupted_servers.contains(server);
  }

 private:
  /// \return True if another run can continue an interrupted response.
  bool can_resume() const;
  fleet::repeat_rule rule;
  bool resumable;
  int max_runs;
  int attempts_made = 0;
  int possible_arrivals = 0;
  int possible_runs = 0;
  bool is_in_flight = false;
  std::set<std::string> sent_servers;
  std::set<std::string> tried_servers;
  std::set<std::string> interrupted_servers;
  std::string last_server;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ATTEMPT_HISTORY_HPP
