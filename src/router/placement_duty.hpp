#ifndef BORAGEHILL_ROUTER_PLACEMENT_DUTY_HPP
#define BORAGEHILL_ROUTER_PLACEMENT_DUTY_HPP

#include <atomic>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boragehill/placement.hpp>
#include <boragehill/server_record.hpp>
#include <boragehill/time_point.hpp>

#include "kernel/duty.hpp"
#include "kernel/task_pool.hpp"
#include "router/placement_message.hpp"
#include "router/placement_store.hpp"

namespace boragehill::decide {
struct model_spec;
}

namespace boragehill::wire {
class rpc_client;
}

namespace boragehill::router {

class fleet;
class home_duty;
class published_config;

/// The thread that keeps the grants of the models homed here: it reads their
/// rows, adds grants ahead of need, and takes back what was given up, what
/// stands on VMs that are gone, and what no profile asks for any more. While
/// the table is down nothing changes and the grants as last read go on.
class placement_duty {
 public:
  placement_duty(placement_store& store, fleet& members,
                 published_config& config, home_duty& home,
                 wire::rpc_client& rpc, kernel::task_pool& calls,
                 milliseconds poll, milliseconds call_timeout);

  void start() { this->worker.start(); }
  void stop() { this->worker.stop(); }

  /// Hands a message over; a full ring drops it, and the next poll or report
  /// brings it again.
  void post(placement_message message) {
    this->worker.post(std::move(message));
  }

  std::size_t depth() const { return this->worker.depth(); }
  std::uint64_t grants_added() const { return this->added; }
  std::uint64_t grants_removed() const { return this->removed; }

 private:
  void handle(const decide::request_grants& wanted);
  void handle(const given_up_message& given);
  void handle(const look_message& order);
  bool may_place(const std::string& model) const;
  void poll();
  void poll_model(const std::string& model, const decide::model_spec* spec);
  void remove_gone_grants(const placement& current);
  void retire_excess(const placement& current, std::uint32_t most);
  std::vector<std::string> choose(const decide::request_grants& wanted,
                                  const decide::model_spec& spec,
                                  const placement& current);
  bool refresh_servers(bool force);
  /// \return True if every model server of the platform's list has a row.
  bool all_registered() const;
  /// Gives servers that are listed and have no row yet a moment to write one,
  /// in the first time after this router's start.
  /// \return True if there are still such servers.
  bool awaits_servers();
  void count_grant(const std::string& server, const grant& added);
  void show(const placement& current);
  void hint(const std::string& server);
  void call_agent(const std::string& server, const std::string& method,
                  const std::string& model);

  placement_store& store;
  fleet& members;
  published_config& config;
  home_duty& home;
  wire::rpc_client& rpc;
  kernel::task_pool& calls;
  milliseconds call_timeout;
  std::map<std::string, placement> known;
  std::vector<server_record> servers;
  time_point servers_read_at;
  const time_point started = time_point::clock::now();
  std::atomic<std::uint64_t> added{0};
  std::atomic<std::uint64_t> removed{0};
  kernel::duty<placement_message> worker;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_PLACEMENT_DUTY_HPP
