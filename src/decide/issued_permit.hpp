#ifndef BORAGEHILL_DECIDE_ISSUED_PERMIT_HPP
#define BORAGEHILL_DECIDE_ISSUED_PERMIT_HPP

#include <boragehill/time_point.hpp>

#include "wire/permit_answer.hpp"
#include "wire/permit_request.hpp"

namespace boragehill::decide {

/// A permit, which lets an entry router run one attempt on one server, whose
/// attempt has not been reported as ended.
struct issued_permit {
  wire::permit_request request;
  wire::permit_answer response;
  time_point issued_at;
  /// When its slot counts as free even if the end was not reported.
  time_point expires_at;

  bool operator==(const issued_permit&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ISSUED_PERMIT_HPP
