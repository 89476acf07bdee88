#ifndef BORAGEHILL_AGENT_REPORT_WORK_HPP
#define BORAGEHILL_AGENT_REPORT_WORK_HPP

#include <atomic>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>
#include <boragehill/vm_info.hpp>

#include "agent/agent_settings.hpp"
#include "wire/agent_report.hpp"
#include "wire/rpc_client.hpp"

namespace boragehill {
class vm_list;
}

namespace boragehill::agent {

class brain_link;
struct brain_view;

/// The report duty's work: polls the VM list and tells the homes of the
/// agent's models how it stands, regularly and at once after a change.
class report_work {
 public:
  /// \param settings The agent's settings.
  /// \param vms The platform's list; must outlive this.
  /// \param brain Asked for the state; must outlive this.
  /// \param on_leaving Called when the list shows this VM as leaving.
  report_work(const agent_settings& settings, vm_list& vms,
              const brain_link& brain, std::function<void()> on_leaving);

  /// Something changed: the next tick reports. From any thread.
  void hurry() { this->hurried = true; }

  /// Where the agent listens, once that is known.
  void set_endpoints(const endpoint& control, const endpoint& data);

  /// Does what is due.
  void tick();

 private:
  void poll_list(time_point now);
  void report(time_point now);
  wire::agent_report report_for(const std::set<std::string>& targets,
                                const brain_view& view, time_point now) const;
  std::vector<std::string> targets_of(const brain_view& view) const;
  void send(const endpoint& router, const wire::agent_report& report,
            time_point now);

  agent_settings settings;
  vm_list* vms;
  const brain_link* brain;
  std::function<void()> on_leaving;
  wire::rpc_client client;
  std::vector<vm_info> known;
  std::map<endpoint, time_point> silent_until;
  time_point next_poll{};
  time_point next_report{};
  std::atomic<bool> hurried{false};
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_REPORT_WORK_HPP
