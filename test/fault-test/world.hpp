#ifndef BORAGEHILL_FAULT_TEST_WORLD_HPP
#define BORAGEHILL_FAULT_TEST_WORLD_HPP

#include <random>

#include <boragehill/vm_info.hpp>

#include "fake_engine.hpp"
#include "fake_table.hpp"

namespace boragehill::fault {

class sim_agent;
class sim_router;

/// One cell: the processes, what they run on, and the fault that waits for its
/// step.
class world {
 public:
  static constexpr std::size_t router_count = 2;
  static constexpr std::size_t agent_count = 3;

  explicit world(breakage broken = breakage::none);
  ~world();

  /// Arms the faults for the n-th time the step happens; each further one a
  /// second after the one before.
  void arm(step where, std::vector<trouble> what, int nth = 1);
  /// Runs the traffic and the quiet after it, and checks what is left.
  void run();

  /// A process says that a step happens in it.
  void at(step where, process& in, const std::string& request = {});

  /// The VM list as a reader sees it now: late by two seconds.
  std::vector<vm_info> vm_list() const;
  bool listed_as_leaving(const std::string& id) const;
  sim_agent& agent(const std::string& id);
  sim_router& router_at(const endpoint& control);
  std::uint64_t random() { return this->generator(); }
  bool broken_by(breakage kind) const { return this->broken == kind; }

  /// Sends a request to a router that takes requests.
  void ask(const caller_request& request, std::size_t preferred,
           milliseconds in);
  /// A request's caller hears of its end.
  void ended(const std::string& request, caller_outcome outcome);
  /// A VM or its process leaves as planned.
  void note_leaving(const std::string& name);

  sim time;
  truth seen;
  fake_table table;
  std::vector<std::unique_ptr<sim_router>> routers;
  std::vector<std::unique_ptr<sim_agent>> agents;
  /// Whether the step came and why the fault could not act, if so.
  bool reached = false;
  std::string not_applicable;

 private:
  struct vm {
    vm_info info;
    std::optional<time_point> leaving_at;
  };

  void inject(trouble what, process& in, const std::string& request);
  void restart_later(process& victim);
  void reclaim(process& victim);
  void publish_two();
  void publish(std::size_t router, const std::string& id);
  void check();
  void check_end();
  void start_traffic();
  void resend(const seen_request& request);
  void stop_busiest();

  breakage broken;
  std::mt19937_64 generator{7};
  std::optional<step> armed;
  std::vector<trouble> troubles;
  std::vector<vm> vms;
  std::set<std::string> poison;
  /// Until when a fault froze an entry router.
  std::map<std::string, time_point> thaws;
  int steps_to_go = 0;
  time_point store_slow_until{};
  int resends = 0;
};

}  // namespace boragehill::fault

#endif  // BORAGEHILL_FAULT_TEST_WORLD_HPP
