#ifndef BORAGEHILL_STANDIN_VM_LIST_STANDIN_HPP
#define BORAGEHILL_STANDIN_VM_LIST_STANDIN_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <json/json.h>
#include <mutex>

#include "standin/standin_server.hpp"

namespace boragehill::standin {

/// The platform's list of VMs; `POST /standin/vms` replaces it, and readers
/// see the change once the lag has passed. The first list shows at once.
class vm_list_standin {
 public:
  vm_list_standin(const standin_settings& settings, standin_server& server);

 private:
  struct version {
    std::chrono::steady_clock::time_point visible_from;
    Json::Value list;
  };

  void replace(const Json::Value& list);
  Json::Value visible();
  Json::Value truth();

  std::chrono::milliseconds lag;
  std::mutex mutex;
  std::deque<version> versions;
  std::uint64_t reads = 0;
};

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_VM_LIST_STANDIN_HPP
