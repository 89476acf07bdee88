#ifndef BORAGEHILL_SOAK_SOAK_RUN_HPP
#define BORAGEHILL_SOAK_SOAK_RUN_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet-test/small_fleet.hpp"
#include "process-test/cpu_quota.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/fault_span.hpp"
#include "soak/fault_step.hpp"
#include "soak/fleet_size.hpp"
#include "soak/stream_record.hpp"

namespace boragehill::soak {

/// One seed's run: a fleet of real processes on loopback, callers, and faults
/// from outside.
class soak_run {
 public:
  soak_run(std::uint64_t seed, std::chrono::milliseconds length,
           const fleet_size& size);

  /// Plays the run.
  /// \return A line for each broken promise; none if all were kept.
  std::vector<std::string> play();

 private:
  using clock = std::chrono::steady_clock;
  struct open_fault {
    fault_step step;
    clock::time_point until;
    std::size_t span = 0;
  };

  bool start();
  bool has_versions() const { return this->size.versions > 1; }
  bool has_crashes() const {
    return this->size.crashing_requests + this->size.crashing_streams > 0;
  }
  /// Lets the workers be of several versions.
  void set_versions();
  /// Gives all callers one client account with a quota.
  void set_quota();
  /// Lets a worker write slowly, and in some lifetimes without a frame, if the
  /// workers are of several versions.
  void set_writing(int worker);
  void check_streams(const std::vector<stream_record>& streams);
  /// \return When each attempt began to run last.
  std::map<std::string, clock::time_point> run_begins() const;
  /// Lets all plain servers fail their runs, so that lookups want retries.
  void fail_plain_runs();
  /// Starts servers that have ended some time ago, in another lifetime.
  void revive_servers();
  /// Gives each router its part of a core.
  void limit_routers();
  /// Starts one, if it has ended so long ago.
  /// \param kind How it is replaced.
  void revive_server(const std::string& name, fault_kind kind, int number);
  void play_faults(clock::time_point begin);
  void begin_fault(const fault_step& step);
  /// The store's link turns thin while large configurations follow each other.
  void begin_thin_link();
  void begin_signal(const fault_step& step);
  void end_faults(clock::time_point now);
  void end_fault(const open_fault& fault);
  void lift_all();
  void revive();
  void replace(const fault_step& step);
  /// Kills a worker and starts another lifetime of it.
  void renew_worker(int number);
  std::string process_of(const fault_step& step) const;
  std::vector<std::string> recover();
  bool answers(int router, const std::string& model);

  std::uint64_t seed;
  std::chrono::milliseconds length;
  fleet_size size;
  fleet_test::small_fleet fleet;
  std::map<std::string, std::unique_ptr<fault_proxy>> proxies;
  std::vector<std::unique_ptr<process_test::cpu_quota>> quotas;
  std::vector<fault_span> spans;
  std::vector<open_fault> open;
  /// Processes of ours that were told to end, or killed.
  std::set<std::string> down;
  std::vector<std::string> found;
  /// When servers that have not been started again ended, by name.
  std::map<std::string, clock::time_point> crashed;
  int replaced = 0;
  /// How many lifetimes each worker has had before.
  std::map<int, int> lifetimes;
  /// What each worker registers under.
  std::map<int, std::string> worker_ids;
  std::int64_t version = 1;
  int probes = 0;
};

}  // namespace boragehill::soak

#endif  // BORAGEHILL_SOAK_SOAK_RUN_HPP
