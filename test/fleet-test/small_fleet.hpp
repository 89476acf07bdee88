#ifndef BORAGEHILL_FLEET_TEST_SMALL_FLEET_HPP
#define BORAGEHILL_FLEET_TEST_SMALL_FLEET_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <httplib.h>
#include <json/json.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boragehill/endpoint.hpp>

#include "invariants/retries_within_budget.hpp"
#include "process-test/process.hpp"

namespace boragehill::fleet_test {

/// \return "name-number", as processes and models are called.
std::string numbered(const std::string& name, int number);

/// Routers, agents and the stand-ins of the platform's store and workers, as
/// processes on loopback addresses, one address a machine.
///
/// Machines: store; router-1 and so on; worker-1 and so on with an agent each,
/// which hold model-1, model-2 ... and have copies of all on disk; plain-1 and
/// so on.
class small_fleet {
 public:
  /// Little, so that a test can use it up.
  static constexpr int least_memory_mb = 1;
  /// What the routers' settings allow of retries.
  static constexpr invariants::retry_bound retry_bound{
      .per_request = 0.2, .constant = 54, .window = std::chrono::seconds(10)};

  /// \param empty_workers That many of the workers, the last ones, start with
  ///     nothing loaded and no copies.
  /// \param behind_proxies The processes of ours reach the store and the
  ///     servers at their `proxy_address`, where the test has to listen.
  /// \param keep_alive_s How long a worker keeps an idle connection.
  /// \param crash_marker What the body of a request holds that ends each plain
  ///     server, in all lifetimes; none if empty.
  small_fleet(int routers, int workers, int plains, int models,
              int empty_workers = 0, bool behind_proxies = false,
              int keep_alive_s = 1, const std::string& crash_marker = {});
  ~small_fleet();

  /// Sets what a router's settings say of its link, before it starts.
  void set_link(int router, double mbps);

  /// Sets what a router's settings say of its memory, before it starts; they
  /// don't name the link's speed then.
  void set_memory(int router, int megabytes);

  /// Sets how many connections the plain servers take in the configurations
  /// written from now on.
  void set_plain_connections(int count) { this->plain_connections = count; }

  /// Sets the largest body of a request in the configurations written from now
  /// on, in bytes.
  void set_max_body(std::size_t bytes) { this->max_body_bytes = bytes; }

  /// Sets how long a connection may be idle in the configurations written from
  /// now on.
  void set_idle_timeout(std::chrono::milliseconds limit) {
    this->idle_timeout = limit;
  }

  /// Sets what a model worker is before it starts.
  /// \param software The version of its software.
  /// \param held The model that it holds; none if empty.
  void set_worker(int number, const std::string& software,
                  const std::string& held);

  /// Lets model workers tell neither in their entries nor in their reports
  /// when they started, before they start.
  void hide_starts();

  /// Lets servers end, in all lifetimes, some time after they begin a request
  /// whose body holds a marker; called before they start.
  /// \param workers Whether model workers do, too, and not only plain servers.
  void crash_servers_on(const std::string& body_marker, bool workers,
                        std::chrono::milliseconds after);

  /// Starts all; returns when every router is ready.
  bool start();

  process_test::process& operator[](const std::string& name) {
    return *this->processes.at(name);
  }

  /// Writes the operator's configuration.
  /// \param prefix Of the route to the plain service.
  /// \param models How many models it has, from model-1 on; all if not told.
  /// \param padding Bytes that it is larger than it need be.
  /// \param status_check False if the model workers have no status check.
  void configure(std::int64_t version, const std::string& prefix,
                 std::optional<int> models = std::nullopt,
                 std::size_t padding = 0, bool status_check = true);

  /// The key that `call` shows where there are client accounts.
  static constexpr auto account_key = "key-of-the-test";

  /// Sets the client accounts of the configurations written from now on, and
  /// that the routes below /lookup/ are public.
  /// \param accounts A JSON list; none if empty.
  void set_accounts(const std::string& accounts);

  /// \return The configuration that a router has in force; -1 if not told.
  std::int64_t catalog_version(int router);

  /// Waits until all routers have a configuration in force, for as long as that
  /// may take.
  /// \return False if one hasn't.
  bool wait_for_catalog(std::int64_t version);

  /// Waits until a router may send so many retries to a service: one that has
  /// just started may send none.
  bool wait_for_retries(int router, double count,
                        const std::string& service = "sheets");

  bool is_ready(int router);
  bool wait_until_ready(int router, std::chrono::milliseconds limit);

  /// Sends a request as a caller does.
  /// \param model Empty for the plain service.
  httplib::Result call(int router, const std::string& attempt,
                       const std::string& model,
                       const std::string& path = "/plain/x",
                       int deadline_ms = 5000);

  /// \param source The address to connect from; any if empty.
  /// \return A socket that is connected to a router; the caller closes it.
  int connect(int router, const std::string& source = {}) const;
  /// Sends bytes and returns all that comes until the router closes.
  std::string raw(int router, const std::string& bytes,
                  const std::string& source = {}) const;
  /// \return A socket that is connected to a router; nothing if the router
  /// takes
  ///     no connections. The caller closes it.
  std::optional<int> try_connect(int router) const;
  /// Sends bytes on a connection and returns all that comes until the router
  /// closes; closes it, too.
  static std::string exchange(int socket, const std::string& bytes);

  Json::Value truth(const std::string& standin);
  /// \return How often an attempt ran, over all workers.
  int runs_of(const std::string& attempt);
  /// \return True if no worker was ordered beyond its memory, by two, or with a
  ///     lower fence than before.
  bool orders_were_sound();
  void drain(const std::string& worker);
  /// Lets a worker's process end when a request's body holds the marker.
  void crash_on(const std::string& worker, const std::string& marker);
  /// Sets a fault of a stand-in, "store" among them.
  void fault(const std::string& standin, const std::string& json);
  /// Kills a model worker and starts another lifetime at its address, of the
  /// same software, empty but for its disk.
  /// \param register_delay Between its start and its entry in the store.
  void replace_worker(
      int number, const std::string& id,
      std::chrono::milliseconds register_delay = std::chrono::milliseconds(0));
  /// Waits until a stand-in answers, five seconds at most.
  void await_standin(const std::string& name) const;
  /// Writes bytes into a row of the store, as another program might.
  void write_row(const std::string& table, const std::string& key,
                 const std::string& bytes);
  /// Writes bytes among the servers' entries, as another program might.
  void write_entry(const std::string& key, const std::string& bytes);
  /// \return The bytes of a server's entry; empty if the store has none.
  std::string entry(const std::string& id);
  /// \return The newest version that the store has given out.
  std::int64_t store_version();
  /// Lets the store come back from the copy of a version: what the system wrote
  /// since is gone, what others wrote is written again.
  void restore_store(std::int64_t version);
  /// Takes a server's entry out of the store.
  void forget_server(const std::string& id);
  /// \return Where a stand-in listens, and where others take it to be.
  endpoint real_address(const std::string& standin) const;
  endpoint proxy_address(const std::string& standin) const;
  /// \return Where callers reach a router.
  endpoint caller_address(int router) const;
  /// Copies the logs of all processes into a folder beside the fleet's own,
  /// which goes with the fleet.
  /// \return That folder.
  std::string keep_logs(const std::string& name) const;
  /// \return The runs that all servers began, by their logs.
  std::vector<invariants::service_event> logged_runs() const;
  /// \return What arrived at all servers, including what they rejected.
  std::vector<invariants::service_event> logged_arrivals() const;
  /// \return The requests under which servers ended.
  std::vector<invariants::service_event> logged_crashes() const;
  /// \return How often each attempt ran, by the logs of all servers.
  std::map<std::string, int> all_runs() const;
  /// \return The versions of the servers that wrote events for each attempt, by
  ///     the logs of all servers.
  std::map<std::string, std::set<std::string>> event_writers() const;
  /// Kills a plain server and starts another lifetime at its address; the
  /// store goes on listing the first one, too.
  void replace_plain(int number, const std::string& id);
  /// \return The router that plans, by the store's row; empty if none.
  std::string planner();

 private:
  /// Models that a worker of the stand-in holds.
  static constexpr int places = 2;

  /// \return The lines of all servers' logs that tell so of an attempt.
  std::vector<invariants::service_event> logged(const std::string& what) const;
  /// \return A number among a router's metrics; nothing if it tells none.
  std::optional<double> metric(int router, const std::string& name);
  /// \return What the store answers for a table.
  Json::Value rows(const std::string& table);
  /// \return The value of a row of the store; empty if there is none.
  std::string row(const std::string& table, const std::string& key);
  /// \return The names of all backend servers, model workers first.
  std::vector<std::string> servers() const;
  void add(const std::string& name, const std::vector<std::string>& arguments);
  void add_standin(const std::string& name, const std::string& kind,
                   const std::vector<std::string>& flags);
  void add_own(const std::string& name, const std::string& role,
               const std::string& machine, double link_mbps = 1000,
               int memory_mb = least_memory_mb);
  void add_plain(const std::string& name, const std::string& id);
  void add_worker(const std::string& name, const std::string& id,
                  const std::vector<std::string>& flags);
  /// Adds all model workers anew, each with its model.
  void add_workers_again();
  /// \return What gives a worker copies of all models.
  std::string disk_flag() const;
  std::string advertised(const std::string& name) const;
  std::string address_of(const std::string& machine) const;
  void post(const std::string& standin, const std::string& path,
            const std::string& body);

  int routers;
  int workers;
  int plains;
  int models;
  bool behind_proxies;
  int keep_alive_s;
  int plain_connections = 100;
  std::size_t max_body_bytes = 4096;
  std::chrono::milliseconds idle_timeout{1500};
  bool tells_starts = true;
  std::string crash_marker;
  /// A JSON list.
  std::string accounts;
  /// Of model workers.
  std::string worker_crash_marker;
  std::chrono::milliseconds crash_delay{0};
  std::string folder;
  int port_base;
  std::map<std::string, std::string> addresses;
  /// Of the workers that have one that was set.
  std::map<int, std::string> versions;
  std::map<std::string, std::unique_ptr<process_test::process>> processes;
};

}  // namespace boragehill::fleet_test

#endif  // BORAGEHILL_FLEET_TEST_SMALL_FLEET_HPP
