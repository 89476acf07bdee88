#ifndef BORAGEHILL_DECIDE_REQUEST_WORK_HPP
#define BORAGEHILL_DECIDE_REQUEST_WORK_HPP

#include <algorithm>

namespace boragehill::decide {

/// The work that a request brings to a backend server.
struct request_work {
  /// Tokens of its prompt; 0 if it has none.
  int prompt_tokens = 0;
  /// Tokens of the response that are expected; 0 for a plain request.
  int output_tokens = 0;

  bool operator==(const request_work&) const = default;

  /// \return The time that it takes at a server of the usual speed with no
  /// other
  ///     requests, in milliseconds. Only the ratio of two requests matters.
  double usual_time() const {
    // A worker reads many prompt tokens at once and writes those of a response
    // one after the other.
    constexpr double ms_per_prompt_token = 0.025;
    constexpr double ms_per_output_token = 20;
    constexpr double least_ms = 20;
    return std::max(ms_per_prompt_token * this->prompt_tokens +
                        ms_per_output_token * this->output_tokens,
                    least_ms);
  }
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_REQUEST_WORK_HPP
