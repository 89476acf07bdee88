#ifndef BORAGEHILL_FLEET_TEST_SLOW_CALLER_HPP
#define BORAGEHILL_FLEET_TEST_SLOW_CALLER_HPP

#include <cstddef>
#include <string>

#include <boragehill/endpoint.hpp>

namespace boragehill::fleet_test {

/// A caller on a slow link, whose buffers and segments are small.
class slow_caller {
 public:
  /// \param bytes_per_second How fast it reads.
  slow_caller(const endpoint& router, std::size_t bytes_per_second);
  ~slow_caller();
  slow_caller(const slow_caller&) = delete;
  slow_caller& operator=(const slow_caller&) = delete;

  /// Sends a request and reads until the connection ends.
  /// \return The bytes of the response's body that came.
  std::size_t take(const std::string& request) const;

 private:
  int socket;
  std::size_t bytes_per_second;
};

}  // namespace boragehill::fleet_test

#endif  // BORAGEHILL_FLEET_TEST_SLOW_CALLER_HPP
