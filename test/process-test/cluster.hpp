#ifndef BORAGEHILL_PROCESS_TEST_CLUSTER_HPP
#define BORAGEHILL_PROCESS_TEST_CLUSTER_HPP

#include <chrono>
#include <cstdint>
#include <json/json.h>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "process-test/process.hpp"

namespace boragehill::process_test {

/// What a cluster is made of; the defaults suit most tests.
struct cluster_shape {
  int routers = 2;
  /// Model engines, each with an agent.
  int engines = 2;
  /// Models named model-1 and so on, of 70 GB each; an engine holds two.
  int models = 2;
  int replicas = 1;
  int max_replicas = 1;
  int warm = 0;
  /// So many agents of engines, the last ones, start only after the profile
  /// was published.
  int late_agents = 0;
  /// Keys added to the `[router]` and `[agent]` sections.
  std::string router_keys;
  std::string agent_keys;
  std::vector<std::string> engine_flags;
  std::vector<std::string> service_flags;
  std::vector<std::string> weight_flags;
};

/// Real processes of the product and of the stand-ins on 127.0.0.1.
///
/// Names: table, objects, vms, weights; engine-1 with its agent server-1 and
/// so on; service with its agent server-service; router-1 and so on.
///
///     cluster own({.models = 5});
///     ASSERT_TRUE(own.start());
///     make_call(own.callers(1), {.body = prompt("model-1", "hello")});
class cluster {
 public:
  explicit cluster(cluster_shape shape);
  ~cluster();

  /// Starts all, publishes the profile and waits until all routers are ready
  /// and every model has its grants.
  bool start();

  process& operator[](const std::string& name);

  /// Sets a stand-in's fault, such as {"kind":"down"}.
  void fault(const std::string& standin, const std::string& json);
  /// Returns what truly happened at a stand-in.
  Json::Value truth(const std::string& standin);
  /// Adds a group of counts of the truth up over engines and the service.
  std::map<std::string, int> counts(const std::string& group);

  /// Returns a router's port for callers, or for operators.
  int callers(int router) const;
  int admin(int router) const;
  /// Returns the port of a stand-in.
  int port(const std::string& standin) const;

  /// Publishes the profile with another priority.
  ///
  /// \param base The revision that the operator read; 0 for a first one.
  /// \return The revision, 0 if refused.
  std::uint64_t publish(int router, std::uint64_t base, int priority);
  std::uint64_t revision(int router);
  /// Returns a page for operators, such as "status".
  Json::Value admin_page(int router, const std::string& page);
  /// Returns the router that is home of a target now, 0 if unknown.
  int home_of(const std::string& target);

  bool is_ready(int router) const;
  bool wait_until_ready(std::chrono::milliseconds limit);
  /// Lists a VM as "live" or "leaving"; "gone" takes it off the list.
  void list_as(const std::string& vm, const std::string& state);

  /// Returns how many models each server may hold, by the routers' status.
  std::map<std::string, int> grants_by_server();

  /// Returns the most replicas that a model ever had at once by the engines'
  /// own history.
  int most_replicas(const std::string& model);

 private:
  void add_standin(const std::string& name, const std::string& service,
                   std::vector<std::string> flags = {});
  void add_router(int number);
  void add_agent(const std::string& name, const std::string& backend);
  void add_product(const std::string& name, const std::string& role,
                   const std::string& settings);
  void send_list();
  std::string address(const std::string& port_name);
  std::string profile(int priority) const;
  bool has_grants();
  bool starts_late(const std::string& name) const;

  cluster_shape shape;
  std::string folder;
  std::string token;
  std::map<std::string, int> ports;
  std::vector<Json::Value> vms;
  std::vector<std::string> standins;
  std::vector<std::string> products;
  std::map<std::string, std::unique_ptr<process>> processes;
};

/// Returns the value below which a share of the samples lies.
double quantile(std::vector<double> samples, double share);

}  // namespace boragehill::process_test

#endif  // BORAGEHILL_PROCESS_TEST_CLUSTER_HPP
