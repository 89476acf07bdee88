#ifndef BORAGEHILL_PLATFORM_HTTP_VM_LIST_HPP
#define BORAGEHILL_PLATFORM_HTTP_VM_LIST_HPP

#include <mutex>
#include <string>
#include <vector>

#include <boragehill/vm_info.hpp>
#include <boragehill/vm_list.hpp>

#include "platform/http_caller.hpp"

namespace boragehill::kernel {
struct plugin_settings;
}

namespace boragehill::platform {

struct http_answer;

/// The platform's list of VMs over HTTP, registered as "http". Besides the
/// errors of the interface a call may end with platform_throttled or
/// platform_bad_answer.
class http_vm_list : public vm_list {
 public:
  /// \param settings Where the list is served and how long a call may take.
  explicit http_vm_list(const kernel::plugin_settings& settings);

  result<std::vector<vm_info>> list() override;

 private:
  result<std::vector<vm_info>> take(const http_answer& answer);

  http_caller caller;
  std::mutex mutex;
  /// The last list and its version: a list of a thousand VMs changes every few
  /// minutes and is asked for every few seconds by every process.
  std::vector<vm_info> last;
  std::string last_etag;
};

}  // namespace boragehill::platform

#endif  // BORAGEHILL_PLATFORM_HTTP_VM_LIST_HPP
