#ifndef BORAGEHILL_DECIDE_WAITING_REQUEST_HPP
#define BORAGEHILL_DECIDE_WAITING_REQUEST_HPP

#include <cstdint>

#include <boragehill/time_point.hpp>

#include "wire/permit_request.hpp"

namespace boragehill::decide {

/// A request in a home's queue.
struct waiting_request {
  wire::permit_request request;
  time_point deadline;
  time_point queued_at;
  /// Order of arrival at this home; breaks ties.
  std::uint64_t sequence = 0;

  bool operator==(const waiting_request&) const = default;
};

/// Orders by earliest deadline, then highest priority, then arrival.
struct by_deadline {
  bool operator()(const waiting_request& a, const waiting_request& b) const {
    if (a.deadline != b.deadline) return a.deadline < b.deadline;
    if (a.request.priority != b.request.priority) {
      return a.request.priority > b.request.priority;
    }
    return a.sequence < b.sequence;
  }
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_WAITING_REQUEST_HPP
