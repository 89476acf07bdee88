#ifndef BORAGEHILL_REFUSAL_HPP
#define BORAGEHILL_REFUSAL_HPP

#include <string>

#include <boragehill/ran_state.hpp>
#include <boragehill/result_code.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill {

/// The final answer to a request that was given up on; sent at once.
struct refusal {
  result_code code = result_code::ok;
  ran_state ran = ran_state::no;
  /// When to come back, from the queue as it is.
  milliseconds retry_after{0};
  std::string message;

  bool operator==(const refusal&) const = default;
};

}  // namespace boragehill

#endif  // BORAGEHILL_REFUSAL_HPP
