#ifndef BORAGEHILL_ROUTER_HOME_LINK_HPP
#define BORAGEHILL_ROUTER_HOME_LINK_HPP

#include <optional>
#include <string>
#include <vector>

#include <boragehill/result.hpp>
#include <boragehill/time_point.hpp>
#include <boragehill/vm_info.hpp>

#include "wire/attempt_end.hpp"
#include "wire/permit_answer.hpp"
#include "wire/permit_request.hpp"

namespace boragehill::wire {
class rpc_client;
}

namespace boragehill::router {

class fleet;
class home_duty;

/// An entry router's way to the homes: this process's own home is called
/// directly, others over the control protocol. Failed calls make the home
/// suspected. Thread safe; calls block for at most the call timeout.
class home_link {
 public:
  home_link(fleet& members, home_duty& own, wire::rpc_client& rpc,
            milliseconds timeout);

  /// Asks a home for a permit. Errors: peer_unreachable, peer_timeout.
  result<wire::permit_answer> ask(const vm_info& home,
                                  const wire::permit_request& request);

  /// Renews waiting attempts; returns the ones that the home does not hold.
  result<std::vector<std::string>> renew(
      const vm_info& home, const std::vector<std::string>& attempts);

  /// Takes a waiting attempt back; best effort.
  void withdraw(const vm_info& home, const std::string& attempt);

  /// Reports ended attempts; best effort, since a permit lapses by itself.
  void done(const vm_info& home, const std::vector<wire::attempt_end>& ends);

 private:
  bool is_own(const vm_info& home) const;

  fleet& members;
  home_duty& own;
  wire::rpc_client& rpc;
  milliseconds timeout;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_HOME_LINK_HPP
