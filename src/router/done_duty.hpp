#ifndef BORAGEHILL_ROUTER_DONE_DUTY_HPP
#define BORAGEHILL_ROUTER_DONE_DUTY_HPP

#include <map>
#include <string>
#include <vector>

#include <boragehill/vm_info.hpp>

#include "kernel/duty.hpp"
#include "wire/attempt_end.hpp"

namespace boragehill::router {

class home_link;

/// The thread that tells homes of ended attempts, many in one message.
class done_duty {
 public:
  explicit done_duty(home_link& homes);

  void start() { this->worker.start(); }
  void stop();

  /// Hands one ended attempt over; dropped if the ring is full, since the
  /// permit lapses by itself.
  void post(const vm_info& home, wire::attempt_end end);

  /// Tells a home of one ended attempt and waits until it has it, or for the
  /// call's timeout.
  void tell(const vm_info& home, const wire::attempt_end& end);

 private:
  struct ended {
    vm_info home;
    wire::attempt_end end;
  };

  void take(ended& message);
  void flush();

  home_link& homes;
  std::map<std::string, std::pair<vm_info, std::vector<wire::attempt_end>>>
      pending;
  kernel::duty<ended> worker;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_DONE_DUTY_HPP
