#ifndef BORAGEHILL_FLEET_TEST_STREAM_CALLER_HPP
#define BORAGEHILL_FLEET_TEST_STREAM_CALLER_HPP

#include <string>

#include <boragehill/endpoint.hpp>

namespace boragehill::fleet_test {

/// A caller of a resumable stream, which takes it up again where it broke off.
class stream_caller {
 public:
  /// \param attempt Of its first try; a further one has "+" added.
  stream_caller(std::string attempt, std::string model);

  /// Asks a router for the stream, or for what is missing of it.
  void call(const endpoint& router);

  const std::string& attempt() const { return this->first_attempt; }
  /// \return All complete events, over all tries.
  const std::string& events() const { return this->received; }
  /// \return True if the last try's response was a success that ended in order.
  bool is_complete() const { return this->complete; }
  /// \return The status of the last try; 0 if none came.
  int status() const { return this->last_status; }

 private:
  std::string last_event() const;

  std::string first_attempt;
  std::string last_attempt;
  std::string model;
  std::string received;
  bool complete = false;
  int last_status = 0;
};

}  // namespace boragehill::fleet_test

#endif  // BORAGEHILL_FLEET_TEST_STREAM_CALLER_HPP
