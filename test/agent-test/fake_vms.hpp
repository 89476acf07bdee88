#ifndef BORAGEHILL_TEST_FAKE_VMS_HPP
#define BORAGEHILL_TEST_FAKE_VMS_HPP

#include <mutex>
#include <vector>

#include <boragehill/vm_info.hpp>
#include <boragehill/vm_list.hpp>

namespace boragehill::agent {

/// The list of VMs that a test writes.
struct fake_vm_table {
  std::mutex mutex;
  std::vector<vm_info> vms;

  void set(std::vector<vm_info> list) {
    const std::lock_guard lock(this->mutex);
    this->vms = std::move(list);
  }
};

/// A VM list over it.
class fake_vms : public vm_list {
 public:
  explicit fake_vms(fake_vm_table& table) : shared(&table) {}

  result<std::vector<vm_info>> list() override {
    const std::lock_guard lock(this->shared->mutex);
    return this->shared->vms;
  }

 private:
  fake_vm_table* shared;
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_TEST_FAKE_VMS_HPP
