#ifndef BORAGEHILL_AGENT_ATTEMPT_REQUEST_HPP
#define BORAGEHILL_AGENT_ATTEMPT_REQUEST_HPP

#include <boragehill/backend_request.hpp>
#include <boragehill/result.hpp>

#include "agent/attempt_target.hpp"
#include "decide/admission.hpp"

namespace httplib {
struct Request;
}

namespace boragehill::agent {

/// An attempt as a router sent it.
struct attempt_request {
  decide::attempt_offer offer;
  attempt_target target;
  bool non_idempotent = false;
  backend_request request;

  bool operator==(const attempt_request&) const = default;
};

/// Reads an attempt from the headers and body of `POST /attempt`.
///
/// \return The attempt. Errors: bad_header.
result<attempt_request> read_attempt(const httplib::Request& request);

/// Returns a point of this process's clock from its milliseconds.
time_point time_of_ms(std::int64_t milliseconds_on_clock);

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_ATTEMPT_REQUEST_HPP
