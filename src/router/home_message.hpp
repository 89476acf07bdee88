#ifndef BORAGEHILL_ROUTER_HOME_MESSAGE_HPP
#define BORAGEHILL_ROUTER_HOME_MESSAGE_HPP

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

#include "decide/home_action.hpp"
#include "wire/agent_report.hpp"
#include "wire/attempts_done.hpp"
#include "wire/permit_answer.hpp"
#include "wire/permit_request.hpp"
#include "wire/wake_answer.hpp"

namespace boragehill::decide {
class catalog;
class home;
}  // namespace boragehill::decide

namespace boragehill::router {

/// A request for a permit; the answer is queued, granted or refused.
struct permit_message {
  wire::permit_request ask;
  std::promise<wire::permit_answer> answer;
};

/// An entry router's waiting attempts; the answer lists the unknown ones.
struct renewal_message {
  std::vector<std::string> attempts;
  std::promise<std::vector<std::string>> unknown;
};

/// Ended attempts.
struct done_message {
  wire::attempts_done done;
};

/// A queued attempt whose caller is gone.
struct withdraw_message {
  std::string attempt;
};

/// An agent's report.
struct report_message {
  wire::agent_report report;
};

/// An agent's answer to a wake; nothing if it was not reached.
struct wake_message {
  decide::order_load wake;
  std::optional<wire::wake_answer> answer;
};

/// A wake that the weight store's pacing keeps waiting.
struct paced_message {
  decide::order_load wake;
  milliseconds wait;
};

/// The servers that may run a target.
struct servers_message {
  std::string target;
  std::vector<std::string> servers;
};

/// A server that is leaving, or that a call failed to reach.
struct server_trouble_message {
  std::string server;
  bool leaving = false;
};

/// An entry router that is gone.
struct entry_gone_message {
  endpoint entry;
};

/// A newer catalog.
struct catalog_message {
  std::shared_ptr<const decide::catalog> published;
};

/// A conviction from the table or another router.
struct conviction_message {
  std::string fingerprint;
};

/// A read-only question from `status` or `explain`.
struct question_message {
  std::function<void(const decide::home&, time_point)> ask;
};

/// What the home duty's ring carries.
using home_message =
    std::variant<permit_message, renewal_message, done_message,
                 withdraw_message, report_message, wake_message, paced_message,
                 servers_message, server_trouble_message, entry_gone_message,
                 catalog_message, conviction_message, question_message>;

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_HOME_MESSAGE_HPP
