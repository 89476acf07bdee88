#ifndef BORAGEHILL_DECIDE_SEND_RECORD_HPP
#define BORAGEHILL_DECIDE_SEND_RECORD_HPP

#include <set>
#include <string>

#include "fleet/repeat_rule.hpp"

namespace boragehill::decide {

/// Where one request of a caller was sent, and whether it may be sent again.
///
/// A non-idempotent request runs at most once, so it goes to a second server
/// only while it is proved that none ran it. Nothing else proves that but the
/// server's own statement, or a connection that failed before a byte was sent.
class send_record {
 public:
  /// \param rule What may be repeated.
  /// \param resumable The answer may go on at another server.
  /// \param attempts The most servers that may run the request.
  send_record(fleet::repeat_rule rule, bool resumable, int attempts);

  /// It is handed to a server.
  void on_send(const std::string& server);
  /// The last server proved that it did not run.
  /// \param ask_again It may be sent there again: the view was wrong, or the
  ///     server told when it takes requests again.
  void on_not_run(bool ask_again);
  /// The last server may have run it.
  void on_perhaps_run();

  /// \return True if it may go to a server again.
  bool may_send() const;
  /// \return True if it may go to another server though the one that has it now
  ///     answered with a failure of its own.
  bool may_repeat_failure() const;
  /// \return True if it may go to another server though the one that has it now
  ///     may still run it.
  bool may_move() const;
  /// \return True if no server has run it or may yet run it.
  bool surely_not_run() const { return this->runs == 0 && !this->out; }
  /// \return True if it was handed to a server at least once.
  bool sent() const { return this->sends > 0; }
  int send_count() const { return this->sends; }
  /// \return True if that server had it and did not answer it in full.
  bool tried(const std::string& server) const {
    return this->servers.contains(server);
  }
  /// \return True if that server broke the answer off. It is asked again where
  ///     no other has the model: waiting for one, streams that lost their
  ///     answer once were held for 16 s and refused.
  bool broke_off(const std::string& server) const {
    return this->broken.contains(server);
  }

 private:
  /// \return True if another run goes on where the last one broke off.
  bool goes_on() const;
  /// \return True if it may run more than once.
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
