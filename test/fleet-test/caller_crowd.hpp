#ifndef BORAGEHILL_FLEET_TEST_CALLER_CROWD_HPP
#define BORAGEHILL_FLEET_TEST_CALLER_CROWD_HPP

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include <boragehill/endpoint.hpp>

#include "fleet-test/call_outcome.hpp"

namespace boragehill::fleet_test {

/// Callers that come at a steady rate, each with a connection of its own, to
/// one router; one whose request wasn't read goes on to the next router, once.
class caller_crowd {
 public:
  static constexpr std::chrono::milliseconds latency_objective{300};

  /// What became of the requests.
  struct tally {
    int sent = 0;
    /// Not known to be unread, at the first or the second try.
    int read = 0;
    /// Served at the first try that was read.
    int served = 0;
    /// Served within `latency_objective` of the first try.
    int in_time = 0;
    /// Not read at the first router.
    int unread = 0;
    /// Requests that were not read at the first router, by their attempts.
    std::vector<std::string> unread_attempts;

    /// \return Of the requests that were read, the share that was served.
    double served_share() const {
      return this->read == 0 ? 0 : 1.0 * this->served / this->read;
    }
  };

  /// \param target Of the requests.
  /// \param routers The first one gets all callers.
  /// \param body_bytes Of each request; its response holds the body, too.
  caller_crowd(std::string target, std::vector<endpoint> routers,
               std::size_t body_bytes = 1)
      : target(std::move(target)),
        routers(std::move(routers)),
        body(body_bytes, '?') {}

  /// Sends requests and waits until all have ended.
  /// \param name Begins the names of the attempts.
  tally send(const std::string& name, int per_second,
             std::chrono::milliseconds time);

 private:
  using time_point = std::chrono::steady_clock::time_point;

  void call(std::size_t router, const std::string& attempt, time_point began);
  void on_ended(std::size_t router, const std::string& attempt,
                time_point began, call_outcome outcome);

  std::string target;
  std::vector<endpoint> routers;
  std::string body;
  asio::io_context context{1};
  tally counts;
};

}  // namespace boragehill::fleet_test

#endif  // BORAGEHILL_FLEET_TEST_CALLER_CROWD_HPP
