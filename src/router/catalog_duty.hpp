#ifndef BORAGEHILL_ROUTER_CATALOG_DUTY_HPP
#define BORAGEHILL_ROUTER_CATALOG_DUTY_HPP

#include <cstdint>
#include <variant>
#include <vector>

#include <boragehill/profile.hpp>
#include <boragehill/time_point.hpp>
#include <boragehill/vm_info.hpp>

#include "kernel/duty.hpp"

namespace boragehill {
class table_service;
}

namespace boragehill::wire {
class rpc_client;
}

namespace boragehill::router {

class conviction_book;
class fleet;
class home_duty;
class placement_duty;
class published_config;
class publisher;

/// The thread that keeps the published configuration in force: it reads the
/// catalog row, fetches what is newer, and fetches from a peer what the table
/// can't give.
class catalog_duty {
 public:
  catalog_duty(publisher& published, table_service& table, fleet& members,
               published_config& config, conviction_book& convictions,
               home_duty& home, placement_duty& placement,
               wire::rpc_client& rpc, milliseconds poll,
               milliseconds call_timeout);

  void start() { this->worker.start(); }
  void stop() { this->worker.stop(); }

  /// Has the catalog row read now: a publish was accepted here.
  void poll_now() { this->worker.post(read_table{}); }

  /// Has a peer's newer catalog fetched.
  void fetch_from(const vm_info& peer) { this->worker.post(ask_peer{peer}); }

 private:
  struct read_table {};
  struct ask_peer {
    vm_info peer;
  };
  using message = std::variant<read_table, ask_peer>;

  void handle(const read_table& order);
  void handle(const ask_peer& order);
  void poll();
  void poll_table();
  void keep_convictions();
  void ask_any_peer();
  void note_outage(bool failed);
  void apply(std::uint64_t revision, std::vector<profile> profiles,
             const std::string& source);

  publisher& published;
  table_service& table;
  fleet& members;
  published_config& config;
  conviction_book& convictions;
  home_duty& home;
  placement_duty& placement;
  wire::rpc_client& rpc;
  milliseconds call_timeout;
  bool outage = false;
  time_point next_convictions;
  kernel::duty<message> worker;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_CATALOG_DUTY_HPP
