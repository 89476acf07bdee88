#ifndef BORAGEHILL_ROUTER_FLEET_HPP
#define BORAGEHILL_ROUTER_FLEET_HPP

#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>
#include <boragehill/vm_info.hpp>

#include "decide/membership.hpp"

namespace boragehill::router {

/// The router's view of all VMs, shared by its threads. Thread safe.
class fleet {
 public:
  /// \param self This router's own VM, always counted as live while it is not
  ///   leaving, since the platform's list lags.
  fleet(vm_info self, decide::membership_settings settings);

  const vm_info& self() const { return this->own; }

  /// Takes a successful read of the platform's list.
  void on_list(const std::vector<vm_info>& vms, time_point now);
  /// Notes that a router answered or sent a heartbeat.
  void on_heartbeat(const vm_info& vm, time_point now);
  /// Notes a failed or an answered call to a process.
  void on_call_failed(const std::string& id, time_point now);
  void on_call_answered(const std::string& id);
  /// Notes that a process said it is leaving.
  void on_leaving(const std::string& id);

  /// Returns the routers that may be a target's home, best first.
  ///
  /// \param target The target.
  /// \param count The most to return.
  std::vector<vm_info> homes(const std::string& target, std::size_t count,
                             time_point now) const;

  /// Returns the other routers of all regions that seem live.
  std::vector<vm_info> peers(time_point now) const;

  /// Returns all other routers of the list, answering or not.
  std::vector<std::string> listed_peers() const;

  /// Returns the servers that may get new work.
  std::vector<vm_info> servers(time_point now) const;

  /// Returns every VM of the last list.
  std::vector<vm_info> listed() const;

  std::optional<vm_info> find(const std::string& id) const;
  bool is_gone(const std::string& id, time_point now);
  bool is_suspected(const std::string& id, time_point now) const;
  bool is_leaving(const std::string& id) const;

 private:
  vm_info own;
  mutable std::mutex mutex;
  decide::membership members;
  std::vector<vm_info> last_list;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_FLEET_HPP
