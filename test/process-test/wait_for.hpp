#ifndef BORAGEHILL_PROCESS_TEST_WAIT_FOR_HPP
#define BORAGEHILL_PROCESS_TEST_WAIT_FOR_HPP

#include <chrono>
#include <thread>

namespace boragehill::process_test {

/// Waits until a condition holds.
///
/// \return False if it does not within the limit.
template <class Condition>
bool wait_for(std::chrono::milliseconds limit, Condition condition) {
  constexpr std::chrono::milliseconds pause{10};
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(pause);
  }
  return true;
}

/// Returns the milliseconds that passed since a point in time.
inline double ms_since(std::chrono::steady_clock::time_point then) {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - then)
      .count();
}

}  // namespace boragehill::process_test

#endif  // BORAGEHILL_PROCESS_TEST_WAIT_FOR_HPP
