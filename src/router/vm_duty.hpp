#ifndef BORAGEHILL_ROUTER_VM_DUTY_HPP
#define BORAGEHILL_ROUTER_VM_DUTY_HPP

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <boragehill/time_point.hpp>
#include <boragehill/vm_info.hpp>

#include "kernel/duty.hpp"

namespace boragehill {
class vm_list;
}

namespace boragehill::router {

class fleet;
class home_duty;

/// The thread that reads the platform's list of VMs and tells the home which
/// servers make up each pool and which are leaving.
class vm_duty {
 public:
  vm_duty(vm_list& list, fleet& members, home_duty& home, milliseconds poll);

  void start() { this->worker.start(); }
  void stop() { this->worker.stop(); }

 private:
  void poll();
  void note_new(const std::vector<vm_info>& vms);
  void note_leaving(const std::vector<vm_info>& vms);
  void show_pools(const std::vector<vm_info>& vms);

  vm_list& list;
  fleet& members;
  home_duty& home;
  bool outage = false;
  std::set<std::string> listed;
  std::set<std::string> leaving;
  std::map<std::string, std::vector<std::string>> pools;
  kernel::duty<std::monostate> worker;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_VM_DUTY_HPP
