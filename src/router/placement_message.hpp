#ifndef BORAGEHILL_ROUTER_PLACEMENT_MESSAGE_HPP
#define BORAGEHILL_ROUTER_PLACEMENT_MESSAGE_HPP

#include <string>
#include <variant>

#include "decide/grant_acknowledgement.hpp"
#include "decide/home_action.hpp"

namespace boragehill::router {

/// A grant that an agent gave back.
struct given_up_message {
  std::string server;
  std::string model;
  decide::grant_acknowledgement given;
};

/// A new catalog is in force: look at all models now.
struct look_message {};

/// What the placement duty's ring carries.
using placement_message =
    std::variant<decide::request_grants, given_up_message, look_message>;

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_PLACEMENT_MESSAGE_HPP
