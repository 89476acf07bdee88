#ifndef BORAGEHILL_FAULT_TEST_SIM_ROUTER_HPP
#define BORAGEHILL_FAULT_TEST_SIM_ROUTER_HPP

#include <boragehill/placement.hpp>

#include "decide/catalog.hpp"
#include "decide/grant_acknowledgement.hpp"
#include "decide/home.hpp"
#include "decide/membership.hpp"
#include "decide/retry_token_bucket.hpp"
#include "decide/revision_view.hpp"
#include "world.hpp"

namespace boragehill::fault {

class sim_request;

/// The row "catalog" and, under "history/<revision>", what each publish wrote.
struct config_row {
  std::uint64_t revision = 0;
  std::string publish_id;
  std::vector<profile> profiles;
};

/// What one router tells another with each heartbeat.
struct heartbeat_news {
  std::uint64_t revision = 0;
  std::optional<milliseconds> confirmed_age;
  std::vector<profile> profiles;
  std::vector<std::string> convictions;
  bool draining = false;
};

/// The shell of one router's decisions, as the duties in src/router have it.
class sim_router {
 public:
  sim_router(world& around, vm_info vm);
  ~sim_router();

  void start();
  void drain() { this->draining = true; }
  bool takes_requests() const;

  /// Takes a request from a caller.
  void accept(const caller_request& request, time_point deadline);
  /// Publishes new profiles over the revision an operator read.
  void publish(const std::string& id, std::uint64_t base,
               std::vector<profile> profiles, int tries = 0);

  wire::permit_answer on_permit_asked(const wire::permit_request& ask);
  bool on_permit_told(const wire::permit_answer& answer);
  std::vector<std::string> on_renewal(const std::vector<std::string>& attempts);
  void on_done(const wire::attempt_end& end);
  void on_withdraw(const std::string& attempt);
  void on_report(const wire::agent_report& report);
  heartbeat_news on_heartbeat(const heartbeat_news& news,
                              const std::string& from);

  /// Returns the homes of a target, best first.
  std::vector<sim_router*> homes(const std::string& target);
  void suspect(const std::string& id);
  std::uint64_t revision() const { return this->view->revision(); }

  process own;
  vm_info vm;
  std::unique_ptr<decide::retry_token_bucket> budget;
  std::string incarnation;
  /// Attempts that wait at a home, and whom to tell.
  std::map<std::string, std::pair<sim_router*, sim_request*>> waiting;

 private:
  void tick();
  void look_around();
  void send_actions();
  void carry_out(const decide::home_action& action);
  void wake(const decide::order_load& wake);
  void heartbeat();
  heartbeat_news news() const;
  void learn(const heartbeat_news& news, const std::string& from);
  void renew();
  void poll_catalog();
  void apply(std::uint64_t revision, const std::vector<profile>& profiles);
  void read_back(const std::string& id, std::uint64_t revision, int tries);
  void poll_placements();
  void add_grant(const decide::request_grants& wanted, int tries);
  void remove_grant(const std::string& server, const std::string& model,
                    std::optional<decide::grant_acknowledgement> given);
  void show(const placement& row);
  void tell_agent(const std::string& server,
                  const std::function<void(sim_agent&)>& what);
  std::vector<vm_info> live_routers();

  world* around;
  bool draining = false;
  std::unique_ptr<decide::home> home;
  std::unique_ptr<decide::membership> members;
  std::unique_ptr<decide::revision_view> view;
  decide::catalog catalog;
  std::set<std::string> convictions;
  std::uint64_t next_sequence = 0;
  std::vector<std::shared_ptr<sim_request>> requests;
};

}  // namespace boragehill::fault

#endif  // BORAGEHILL_FAULT_TEST_SIM_ROUTER_HPP
