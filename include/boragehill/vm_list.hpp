#ifndef BORAGEHILL_VM_LIST_HPP
#define BORAGEHILL_VM_LIST_HPP

#include <vector>

#include <boragehill/result.hpp>

namespace boragehill {

struct vm_info;

/// The platform's lagging list of live and leaving VMs.
class vm_list {
 public:
  virtual ~vm_list() = default;

  /// Returns every VM that the platform lists. Errors: platform_down.
  virtual result<std::vector<vm_info>> list() = 0;
};

}  // namespace boragehill

#endif  // BORAGEHILL_VM_LIST_HPP
