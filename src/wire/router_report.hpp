#ifndef BORAGEHILL_WIRE_ROUTER_REPORT_HPP
#define BORAGEHILL_WIRE_ROUTER_REPORT_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decide/demand_report.hpp"
#include "decide/interruption.hpp"
#include "decide/quota_report.hpp"
#include "decide/rate_limit_report.hpp"
#include "decide/stream_origin.hpp"

namespace boragehill::wire {

/// From a router to the planner.
struct router_report {
  std::string router;
  decide::demand_report demand;
  /// Responses that broke off since the last report, by server.
  std::vector<decide::interruption> interruptions;
  /// Requests that are quarantined; told to a new planner, which knows of none.
  std::vector<std::string> quarantined;
  /// Suspected requests with a complete response after their first crash.
  std::vector<std::string> cleared_requests;
  /// Suspected requests with a complete response before it.
  std::vector<std::string> completed_requests;
  /// Suspected requests that wait here for a permit to be sent.
  std::vector<std::string> wanted_trials;
  /// Parts of prompts that are quarantined; told as requests are.
  std::vector<std::string> quarantined_parts;
  /// Suspected parts with a complete response after their first crash.
  std::vector<std::string> cleared_parts;
  /// Suspected parts with a complete response before it.
  std::vector<std::string> completed_parts;
  decide::rate_limit_report rate_limits;
  /// Nothing where no client account has a quota.
  std::optional<decide::quota_report> quotas;
  /// Streams that were sent to a server since the last report, each by the
  /// attempt that brings its first event.
  std::map<std::string, decide::stream_origin> streams;
  /// Streams that callers take up again and that this router doesn't know.
  std::vector<std::string> wanted_streams;

  bool tells_of_streams() const {
    return !this->streams.empty() || !this->wanted_streams.empty();
  }

  /// \return True if it holds news of crashes.
  bool tells_of_crashes() const {
    return !this->interruptions.empty() || !this->quarantined.empty() ||
           !this->cleared_requests.empty() ||
           !this->completed_requests.empty() || !this->wanted_trials.empty() ||
           !this->quarantined_parts.empty() || !this->cleared_parts.empty() ||
           !this->completed_parts.empty();
  }

  bool operator==(const router_report&) const = default;
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_ROUTER_REPORT_HPP
