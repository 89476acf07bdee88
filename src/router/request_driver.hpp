#ifndef BORAGEHILL_ROUTER_REQUEST_DRIVER_HPP
#define BORAGEHILL_ROUTER_REQUEST_DRIVER_HPP

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include <boragehill/refusal.hpp>
#include <boragehill/vm_info.hpp>

#include "decide/request_flow.hpp"
#include "kernel/span.hpp"
#include "router/accepted_request.hpp"
#include "router/driver_parts.hpp"
#include "router/once_desk.hpp"
#include "router/whole_answer.hpp"

namespace boragehill::router {

class attempt_call;
class live_answer;

/// Carries one request through, on its caller's thread: it does the I/O that
/// `decide::request_flow` asks for, one step at a time.
class request_driver {
 public:
  request_driver(driver_parts& parts, accepted_request request,
                 std::uint64_t sequence);

  /// The final answer: whole, its beginning, or a refusal.
  using outcome =
      std::variant<whole_answer, std::shared_ptr<live_answer>, refusal>;

  /// Runs the request to its final answer; called once.
  outcome run();

 private:
  decide::flow_step carry_out(const decide::ask_home& step);
  decide::flow_step carry_out(const decide::await_permit& step);
  decide::flow_step carry_out(const decide::write_claim& step);
  decide::flow_step carry_out(const decide::dispatch& step);
  decide::flow_step carry_out(const decide::ask_fate& step);
  decide::flow_step carry_out(const decide::fetch_kept& step);
  decide::flow_step carry_out(const decide::pause_until& step);
  decide::flow_step carry_out(const decide::delivered& step);
  decide::flow_step carry_out(const decide::give_up& step);

  std::optional<vm_info> pick_home();
  decide::attempt_result receive(attempt_call& call,
                                 const decide::dispatch& step);
  bool agent_answers(const decide::dispatch& step);
  void cancel_at_agent(const decide::dispatch& step);
  outcome conclude(const decide::flow_step& last);

  driver_parts& parts;
  accepted_request request;
  kernel::span hop;
  decide::request_flow flow;
  once_ticket ticket;
  /// The home that holds, or gave, the current attempt's permit.
  vm_info home;
  std::set<std::string> lost_homes;
  wire::permit_answer permit;
  std::optional<whole_answer> answer;
  std::shared_ptr<live_answer> live;
  bool waited = false;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_REQUEST_DRIVER_HPP
