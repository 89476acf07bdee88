#ifndef BORAGEHILL_DECIDE_STREAM_ORIGIN_HPP
#define BORAGEHILL_DECIDE_STREAM_ORIGIN_HPP

#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Where a resumable stream began.
struct stream_origin {
  /// Its server's service, and the version of that server's software.
  std::string service;
  std::string software;
  /// For how long its caller may take it up again.
  milliseconds lifetime{0};

  bool operator==(const stream_origin&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STREAM_ORIGIN_HPP
