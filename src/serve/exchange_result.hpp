#ifndef BORAGEHILL_SERVE_EXCHANGE_RESULT_HPP
#define BORAGEHILL_SERVE_EXCHANGE_RESULT_HPP

#include <string>

#include <boragehill/result_code.hpp>

namespace boragehill::serve {

/// How a request ended, for its log line and the metrics.
struct exchange_result {
  result_code code = result_code::ok;
  int status = 0;
  /// What was decided last, in a word or two.
  std::string reason;

  bool operator==(const exchange_result&) const = default;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_EXCHANGE_RESULT_HPP
