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
#include "router/caller_watch.hpp"
#include "router/driver_parts.hpp"
#include "router/once_desk.hpp"
#include "router/whole_answer.hpp"
#include "wire/answer_frame.hpp"

namespace boragehill::router {

class attempt_call;
class attempt_follower;
class live_answer;

/// Carries one request through, on its caller's thread: it does the I/O that
/// `decide::request_flow` asks for, one step at a time.
class request_driver {
 public:
  request_driver(driver_parts& parts, accepted_request request,
                 std::uint64_t sequence, caller_watch caller);

  /// The final answer: whole, its beginning, or a refusal.
  using outcome =
      std::variant<whole_answer, std::shared_ptr<live_answer>, refusal>;

  /// Runs the request to its final answer; called once.
  outcome run();

 private:
  /// A frame, or how the attempt ended.
  using received = std::variant<wire::answer_frame, decide::attempt_result>;

  decide::flow_step carry_out(const decide::request_permit& step);
  decide::flow_step carry_out(const decide::await_permit& step);
  decide::flow_step carry_out(const decide::write_claim& step);
  decide::flow_step carry_out(const decide::dispatch& step);
  decide::flow_step carry_out(const decide::query_attempt_status& step);
  decide::flow_step carry_out(const decide::fetch_stored_response& step);
  decide::flow_step carry_out(const decide::pause_until& step);
  decide::flow_step carry_out(const decide::delivered& step);
  decide::flow_step carry_out(const decide::refuse_request& step);

  std::optional<vm_info> pick_home();
  bool becomes_stream(const received& first) const;
  void begin_stream(std::unique_ptr<attempt_call> call, const received& first,
                    const decide::dispatch& step);
  decide::attempt_result collect(attempt_call& call, attempt_follower& follower,
                                 received next);
  std::optional<wire::permit_answer> await(const std::string& attempt,
                                           time_point until);
  outcome conclude(const decide::flow_step& last);

  driver_parts& parts;
  accepted_request request;
  caller_watch caller;
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
