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

/// A process's own view of the routers and backend servers, from the
/// platform's lagging list, direct heartbeats and its own failed calls. No two
/// processes need to agree on it.
class membership {
 public:
  explicit membership(membership_settings settings);

  /// Takes a successful read of the list. An empty one is taken for a fault of
  /// the platform and ignored; a failed read is not passed here at all.
  void on_list(const std::vector<vm_info>& vms, time_point now);

  /// Notes a heartbeat or load report that came from the process itself.
  void on_heartbeat(const vm_info& vm, time_point now);

  /// Notes that a call to the process failed or timed out.
  void on_call_failed(const std::string& id, time_point now);

  /// Notes that a call to the process was answered; ends a suspicion.
  void on_call_answered(const std::string& id);

  /// Notes that the process said it is leaving. Never taken back.
  void on_leaving(const std::string& id);

  /// Returns the routers of a region that may be homes, in id order.
  ///
  /// \param region The region; empty for all.
  std::vector<vm_info> live_routers(std::string_view region,
                                    time_point now) const;

  /// Returns the backend servers that may get new work, in id order.
  std::vector<vm_info> usable_servers(time_point now) const;

  /// Returns true only if successful list reads have lacked the VM for
  /// `gone_after` and nothing was heard from it in that time. The list lags, so
  /// the first question about a VM never listed only begins to watch for it.
  bool is_gone(const std::string& id, time_point now);

  bool is_suspected(const std::string& id, time_point now) const;

  bool is_leaving(const std::string& id) const;

  /// Returns what the list or the VM itself said of it; nothing if neither did.
  std::optional<vm_info> find(const std::string& id) const;

 private:
  struct member {
    vm_info vm;
    bool listed = false;
    std::optional<time_point> heard_at;
    /// The first of the list reads since it became known that all lack it.
    std::optional<time_point> missing_since;
  };

  bool takes_work(const member& known, time_point now) const;
  void forget_old(time_point now);

  membership_settings settings;
  std::map<std::string, member> members;
  std::map<std::string, time_point> suspected_until;
  std::set<std::string> leaving;
  std::optional<time_point> last_list;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_MEMBERSHIP_HPP
