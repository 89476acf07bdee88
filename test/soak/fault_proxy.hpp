#ifndef BORAGEHILL_SOAK_FAULT_PROXY_HPP
#define BORAGEHILL_SOAK_FAULT_PROXY_HPP

#include <asio/ip/tcp.hpp>
#include <memory>
#include <set>

#include <boragehill/endpoint.hpp>

#include "kernel/event_loop.hpp"
#include "soak/link_fault.hpp"
#include "soak/link_pacer.hpp"

namespace boragehill::soak {

class proxied_link;

/// Passes TCP connections on to a machine of the fleet and harms them as told.
/// Thread safe; a thread of its own does the work.
class fault_proxy {
 public:
  /// \param listen Where the fleet's processes take the machine to be.
  /// \param target Where it is.
  fault_proxy(const endpoint& listen, const endpoint& target);
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  /// \return False if the address can't be had.
  bool start();

  /// What happens to all connections from now on. `link_fault::reset` resets
  /// those that are open and lets new ones pass.
  void set(link_fault fault);

  /// Accepts no more connections. As with a process that is being killed, the
  /// kernel takes new ones until the proxy is destroyed, and resets them then.
  /// Returns when it is done.
  void stop_accepting();

 private:
  void accept();
  void apply(link_fault fault);

  endpoint listen;
  endpoint target;
  kernel::event_loop loop;
  asio::ip::tcp::acceptor acceptor;
  std::set<std::shared_ptr<proxied_link>> links;
  std::shared_ptr<link_pacer> pacer = std::make_shared<link_pacer>();
  link_fault current = link_fault::none;
};

}  // namespace boragehill::soak

#endif  // BORAGEHILL_SOAK_FAULT_PROXY_HPP
