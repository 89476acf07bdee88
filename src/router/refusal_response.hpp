#ifndef BORAGEHILL_ROUTER_REFUSAL_RESPONSE_HPP
#define BORAGEHILL_ROUTER_REFUSAL_RESPONSE_HPP

#include <string>

#include <boragehill/refusal.hpp>

namespace httplib {
struct Response;
}

namespace boragehill::router {

/// Returns the JSON body of a refusal:
/// `{"error":{"code","name","message","ran","retry_after_ms"}}`.
std::string refusal_json(const refusal& refused);

/// Writes a refusal as an HTTP response: status by its code, the JSON body,
/// `Boragehill-Ran`, and `Retry-After` in whole seconds where there is one.
void write_refusal(const refusal& refused, httplib::Response& response);

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_REFUSAL_RESPONSE_HPP
