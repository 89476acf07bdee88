#ifndef BORAGEHILL_APP_REQUEST_LOSS_HPP
#define BORAGEHILL_APP_REQUEST_LOSS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "app/log_line.hpp"

namespace boragehill::app {

/// Where requests were lost or late: the key of a row of the table of losses.
struct request_loss {
  /// Since the first line of the logs, rounded down to whole spans.
  std::int64_t second = 0;
  std::string route;
  /// Why, as `cause_of` says.
  std::string cause;

  bool operator==(const request_loss&) const = default;
  bool operator<(const request_loss& other) const {
    return std::tie(this->second, this->route, this->cause) <
           std::tie(other.second, other.route, other.cause);
  }
};

/// Judges the line that a router wrote when a request ended.
/// \return Why the request was lost or late; empty if it was served in time, or
///     if the line isn't such a one.
std::string cause_of(const log_line& line);

/// Sums up losses by time, route and cause.
/// \param lines Of any processes, in any order.
/// \param span_seconds Length of a row's time; requests count where they came.
/// \return How many requests each loss cost.
std::map<request_loss, int> losses_of(const std::vector<log_line>& lines,
                                      int span_seconds);

}  // namespace boragehill::app

#endif  // BORAGEHILL_APP_REQUEST_LOSS_HPP
