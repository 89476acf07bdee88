#ifndef BORAGEHILL_INVARIANTS_RETRIES_WITHIN_BUDGET_HPP
#define BORAGEHILL_INVARIANTS_RETRIES_WITHIN_BUDGET_HPP

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boragehill/time_point.hpp>

namespace boragehill::invariants {

/// One request of a caller, or one arrival of it at a server.
struct service_event {
  std::string service;
  std::string attempt;
  time_point at;
  /// The version of the server's software, where a server tells the event.
  std::string software;
  /// The time left that was handed on with an arrival.
  std::optional<milliseconds> time_left;

  bool operator==(const service_event&) const = default;
};

/// How many retries a service may get in any window.
struct retry_bound {
  double per_request = 0.2;
  double constant = 54;
  milliseconds window{10000};

  bool operator==(const retry_bound&) const = default;
};

/// The window of a service with the most retries beyond what is allowed.
struct retry_window {
  std::string service;
  time_point begin;
  std::size_t retries = 0;
  double allowed = 0;

  double excess() const {
    return static_cast<double>(this->retries) - this->allowed;
  }
  bool operator==(const retry_window&) const = default;
};

/// \return The events by time.
inline std::vector<service_event> in_order(std::vector<service_event> events) {
  std::sort(
      events.begin(), events.end(),
      [](const auto& one, const auto& other) { return one.at < other.at; });
  return events;
}

namespace detail {

using event_times = std::vector<time_point>;

inline std::size_t count_between(const event_times& sorted, time_point begin,
                                 time_point end) {
  const auto first = std::lower_bound(sorted.begin(), sorted.end(), begin);
  return static_cast<std::size_t>(std::lower_bound(first, sorted.end(), end) -
                                  first);
}

inline std::map<std::string, event_times> times_by_service(
    const std::vector<service_event>& events) {
  std::map<std::string, event_times> times;
  for (const auto& each : events) times[each.service].push_back(each.at);
  for (auto& [service, sorted] : times) {
    std::sort(sorted.begin(), sorted.end());
  }
  return times;
}

/// \return The arrivals at each service beyond the first of each attempt.
inline std::map<std::string, event_times> retries_by_service(
    std::vector<service_event> arrivals) {
  std::set<std::string> arrived;
  std::vector<service_event> retries;
  for (const auto& each : in_order(std::move(arrivals))) {
    if (!arrived.insert(each.attempt).second) retries.push_back(each);
  }
  return times_by_service(retries);
}

}  // namespace detail

/// Sums retries per service and window, whichever processes sent them.
///
/// \param requests What callers sent, whether it arrived or not.
/// \param arrivals What reached servers, including what they rejected.
/// \return The worst window of each service that got any retry. The requests
///     that its allowance rests on are those of the window, of the one before
///     it or of the one half a window before it, whichever has most.
inline std::vector<retry_window> worst_retry_windows(
    const std::vector<service_event>& requests,
    const std::vector<service_event>& arrivals, const retry_bound& bound) {
  const auto requested = detail::times_by_service(requests);
  std::vector<retry_window> worst;
  for (const auto& [service, retries] : detail::retries_by_service(arrivals)) {
    const auto found = requested.find(service);
    const auto sent =
        found == requested.end() ? detail::event_times() : found->second;
    std::vector<time_point> begins(retries);
    for (const auto& last : retries) {
      begins.push_back(last - bound.window + milliseconds(1));
    }
    retry_window most;
    for (const auto& begin : begins) {
      const auto requests_from = [&](time_point from) {
        return detail::count_between(sent, from, from + bound.window);
      };
      const auto basis = std::max({requests_from(begin),
                                   requests_from(begin - bound.window / 2),
                                   requests_from(begin - bound.window)});
      const retry_window each{
          .service = service,
          .begin = begin,
          .retries =
              detail::count_between(retries, begin, begin + bound.window),
          .allowed =
              bound.per_request * static_cast<double>(basis) + bound.constant};
      if (most.service.empty() || each.excess() > most.excess()) most = each;
    }
    worst.push_back(most);
  }
  return worst;
}

}  // namespace boragehill::invariants

#endif  // BORAGEHILL_INVARIANTS_RETRIES_WITHIN_BUDGET_HPP
