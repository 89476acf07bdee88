#ifndef BORAGEHILL_FAULT_TEST_SIM_REQUEST_HPP
#define BORAGEHILL_FAULT_TEST_SIM_REQUEST_HPP

#include "decide/admission.hpp"
#include "decide/idempotency_record.hpp"
#include "decide/request_flow.hpp"
#include "sim_agent.hpp"
#include "sim_router.hpp"

namespace boragehill::fault {

/// Carries out one request's flow, as src/router/request_driver.cpp and
/// once_desk.cpp do, in events instead of a thread.
class sim_request {
 public:
  sim_request(world& around, sim_router& entry, const caller_request& asked,
              time_point deadline, std::uint64_t sequence);

  void begin();
  /// The home's word on a queued attempt came.
  void on_told(const wire::permit_answer& answer);
  /// The home is gone or forgot the attempt.
  void on_place_lost();

 private:
  using step_of = decide::flow_step;

  time_point now() const { return this->around->time.now; }
  void open();
  void on_row(const decide::idempotency_record& row);
  void follow(const decide::idempotency_record& row);
  void next(const step_of& what);
  void carry_out(const decide::request_permit& what);
  void carry_out(const decide::await_permit& what);
  void carry_out(const decide::write_claim& what);
  void carry_out(const decide::dispatch& what);
  void carry_out(const decide::query_attempt_status& what);
  void carry_out(const decide::fetch_stored_response& what);
  void carry_out(const decide::pause_until& what);
  void carry_out(const decide::delivered& what);
  void carry_out(const decide::refuse_request& what);

  void lose_home();
  void read_back_claim(const decide::idempotency_record& row, int tries);
  void settle(int tries);
  void send(const decide::dispatch& what);
  void on_frame(std::uint64_t sent, const agent_frame& frame);
  void on_broken(std::uint64_t sent, result_code code);
  void on_result(std::uint64_t sent, decide::attempt_result result);
  void probe(std::uint64_t sent, int unanswered);
  void ask_agent(const std::string& attempt, const wire::permit_answer& permit,
                 std::function<void(std::optional<wire::attempt_status>)> done);
  void ask_kept(const std::string& attempt, const std::string& server,
                const std::function<void(std::optional<std::string>)>& done);
  decide::idempotency_record claim_row(const attempt_id& attempt,
                                       const wire::permit_answer& permit) const;
  void refuse(result_code code, ran_state ran);
  void hand_over(const std::string& body);
  void note_end(wire::attempt_outcome outcome);

  world* around;
  sim_router* entry;
  caller_request asked;
  time_point deadline;
  decide::request_flow flow;
  sim_router* home = nullptr;
  std::set<sim_router*> lost;
  wire::permit_answer permit;
  std::uint64_t etag = 0;
  /// Numbers the dispatches; frames of an older one are dropped.
  std::uint64_t sending = 0;
  time_point last_frame{};
  bool streaming = false;
  std::string answer;
};

}  // namespace boragehill::fault

#endif  // BORAGEHILL_FAULT_TEST_SIM_REQUEST_HPP
