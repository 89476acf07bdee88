#ifndef BORAGEHILL_FLEET_TEST_STREAM_CALLER_HPP
#define BORAGEHILL_FLEET_TEST_STREAM_CALLER_HPP

#include <chrono>
#include <string>
#include <vector>

#include <boragehill/endpoint.hpp>

namespace boragehill::fleet_test {

/// A caller of a resumable stream, which takes it up again where it broke off.
class stream_caller {
 public:
  /// \param attempt Of its first try; a further one has "+" added.
  /// \param prefix Of what it asks for; its first attempt follows.
  stream_caller(
      std::string attempt, std::string model,
      std::chrono::milliseconds deadline = std::chrono::milliseconds(9000),
      std::string prefix = "/stream/r/");

  /// Asks a router for the stream, or for what is missing of it.
  void call(const endpoint& router);

  const std::string& attempt() const { return this->first_attempt; }
  /// \return The attempt of the last try.
  const std::string& try_attempt() const { return this->last_attempt; }
  /// \return All complete events, over all tries.
  const std::string& events() const { return this->received; }
  /// \return The ids of these events, as they came.
  std::vector<int> event_ids() const;
  /// \return True if the last try's response was a success that ended in order.
  bool is_complete() const { return this->complete; }
  /// \return The status of the last try; 0 if none came.
  int status() const { return this->last_status; }
  /// \return True if the last try reached its router.
  bool was_connected() const { return this->connected; }

 private:
  std::string first_attempt;
  std::string last_attempt;
  /// Of the try that brought the first event.
  std::string begun_attempt;
  std::string model;
  std::chrono::milliseconds deadline;
  std::string prefix;
  std::string received;
  bool complete = false;
  bool connected = false;
  int last_status = 0;
};

}  // namespace boragehill::fleet_test

#endif  // BORAGEHILL_FLEET_TEST_STREAM_CALLER_HPP
