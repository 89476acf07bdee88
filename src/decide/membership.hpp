#ifndef BORAGEHILL_DECIDE_MEMBERSHIP_HPP
#define BORAGEHILL_DECIDE_MEMBERSHIP_HPP

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boragehill/time_point.hpp>
#include <boragehill/vm_info.hpp>

#include "decide/membership_settings.hpp"

namespace boragehill::decide {

/// One process's view of the routers and backend servers. It combines the
/// platform's VM list, which lags, with heartbeats and the process's own failed
/// calls. The views of two processes may differ.
class membership {
 public:
  explicit membership(membership_settings settings);

  /// Applies a successful read of the VM list. An empty list is ignored as a
  /// fault of the platform. Failed reads are not passed to this class.
  void on_vm_list(const std::vector<vm_info>& vms, time_point now);

  /// Handles a heartbeat or load report from a process.
  void on_heartbeat(const vm_info& vm, time_point now);

  /// Handles a call to a process that failed or timed out: it is suspected for
  /// `suspect_for`.
  void on_call_failed(const std::string& id, time_point now);

  /// Handles a call to a process that succeeded; ends a suspicion.
  void on_call_succeeded(const std::string& id);

  /// Marks a process as draining, as it reported. The mark is permanent.
  void on_draining(const std::string& id);

  /// Returns the routers of a region that may act as homes, ordered by id.
  ///
  /// \param region The region; empty for all.
  std::vector<vm_info> live_routers(std::string_view region,
                                    time_point now) const;

  /// Returns the backend servers that may get new requests, ordered by id.
  std::vector<vm_info> usable_servers(time_point now) const;

  /// Returns whether a VM is removed: for `removal_delay` it was absent from
  /// the successful list reads and sent no heartbeat. The list lags, so an
  /// unknown VM may be new: its delay starts with the first list read after the
  /// first call of this function.
  bool is_removed(const std::string& id, time_point now);

  bool is_suspected(const std::string& id, time_point now) const;

  bool is_draining(const std::string& id) const;

  /// Returns the VM as listed or, if it is not listed, as in its heartbeat;
  /// nothing if neither was received.
  std::optional<vm_info> find(const std::string& id) const;

 private:
  struct member {
    vm_info vm;
    bool listed = false;
    std::optional<time_point> heartbeat_at;
    /// Time of the first of the consecutive list reads that lack it.
    std::optional<time_point> unlisted_since;
  };

  bool accepts_work(const member& known, time_point now) const;
  void drop_expired(time_point now);

  membership_settings settings;
  std::map<std::string, member> members;
  std::map<std::string, time_point> suspected_until;
  std::set<std::string> draining;
  std::optional<time_point> last_list_at;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_MEMBERSHIP_HPP
