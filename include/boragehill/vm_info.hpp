#ifndef BORAGEHILL_VM_INFO_HPP
#define BORAGEHILL_VM_INFO_HPP

#include <string>

#include <boragehill/endpoint.hpp>

namespace boragehill {

/// What a VM is there for.
enum class vm_role { router, model_server, service_server };

/// Whether the platform means to keep a VM.
enum class vm_state { live, leaving };

/// One line of the platform's list of VMs; the list lags.
struct vm_info {
  /// Unique for the life of the VM, never reused.
  std::string id;
  vm_role role = vm_role::router;
  vm_state state = vm_state::live;
  /// The control protocol of the system's process there.
  endpoint control;
  /// The data protocol (agents) or callers' listener (routers).
  endpoint data;
  std::string failure_domain;
  std::string region;
  /// The pool that a server belongs to; empty for routers.
  std::string pool;

  bool operator==(const vm_info&) const = default;
};

}  // namespace boragehill

#endif  // BORAGEHILL_VM_INFO_HPP
