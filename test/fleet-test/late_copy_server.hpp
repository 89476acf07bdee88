#ifndef BORAGEHILL_FLEET_TEST_LATE_COPY_SERVER_HPP
#define BORAGEHILL_FLEET_TEST_LATE_COPY_SERVER_HPP

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "fleet-test/answering_server.hpp"

namespace boragehill::fleet_test {

/// What a server does with one send of a request.
struct scripted_reply {
  /// Whether the server runs the request.
  bool runs = false;
  std::string bytes;
  /// Sent before the answer to the next request on the connection.
  std::string late_bytes;
};

/// A plain server whose answers may come a second time, where the answer to the
/// next request on their connection is expected.
class late_copy_server {
 public:
  /// \param reply Decides on a send; called with the attempt and how often the
  ///     attempt came so far, this time included.
  using replier = std::function<scripted_reply(const std::string&, int)>;

  explicit late_copy_server(replier reply);

  /// \return What it writes to the store, as JSON.
  std::string entry() const;
  /// \return How often it has run an attempt.
  int runs_of(const std::string& attempt);
  /// \return How often an attempt came.
  int sends_of(const std::string& attempt);

 private:
  server_answer_bytes answer(const std::string& attempt);

  replier reply;
  std::mutex mutex;
  std::map<std::string, int> sends;
  std::map<std::string, int> runs;
  answering_server server;
};

}  // namespace boragehill::fleet_test

#endif  // BORAGEHILL_FLEET_TEST_LATE_COPY_SERVER_HPP
