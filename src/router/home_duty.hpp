#ifndef BORAGEHILL_ROUTER_HOME_DUTY_HPP
#define BORAGEHILL_ROUTER_HOME_DUTY_HPP

#include <functional>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/home.hpp"
#include "kernel/duty.hpp"
#include "router/home_message.hpp"

namespace boragehill::router {

class home_outbox;

/// The thread that owns this router's share of the models: it feeds events to
/// `decide::home` and its actions to the outbox.
class home_duty {
 public:
  /// \param settings The home's limits.
  /// \param strikes The limits of the strikes.
  /// \param capacity The most messages waiting.
  /// \param outbox Must outlive the duty.
  home_duty(decide::home_settings settings,
            decide::crash_attribution_settings strikes, std::size_t capacity,
            home_outbox& outbox);

  void start() { this->worker.start(); }
  void stop() { this->worker.stop(); }

  /// Hands a message over.
  ///
  /// \return False if the ring is full or the duty stopped.
  bool post(home_message message) {
    return this->worker.post(std::move(message));
  }

  /// Asks for a permit and waits for the answer.
  ///
  /// \return The answer; refused with router_overloaded if the ring is full or
  ///   the duty does not answer within `limit`.
  wire::permit_answer ask(const wire::permit_request& request,
                          milliseconds limit);

  /// Asks which attempts are not queued here; all of them if the duty is
  /// overloaded.
  std::vector<std::string> renew(const std::vector<std::string>& attempts,
                                 milliseconds limit);

  /// Asks a read-only question and waits for it.
  ///
  /// \return False if the duty did not get to it within `limit`.
  bool question(std::function<void(const decide::home&, time_point)> ask,
                milliseconds limit);

  std::size_t depth() const { return this->worker.depth(); }
  milliseconds tick_age() const { return this->worker.tick_age(); }

 private:
  void handle(home_message& message);
  void handle(permit_message& message, time_point now);
  void handle(renewal_message& message, time_point now);
  void handle(done_message& message, time_point now);
  void handle(withdraw_message& message, time_point now);
  void handle(report_message& message, time_point now);
  void handle(wake_message& message, time_point now);
  void handle(paced_message& message, time_point now);
  void handle(servers_message& message, time_point now);
  void handle(server_trouble_message& message, time_point now);
  void handle(entry_gone_message& message, time_point now);
  void handle(catalog_message& message, time_point now);
  void handle(conviction_message& message, time_point now);
  void handle(question_message& message, time_point now);
  void send_actions();

  decide::home decisions;
  home_outbox& outbox;
  kernel::duty<home_message> worker;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_HOME_DUTY_HPP
