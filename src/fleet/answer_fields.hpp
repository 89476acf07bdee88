#ifndef BORAGEHILL_FLEET_ANSWER_FIELDS_HPP
#define BORAGEHILL_FLEET_ANSWER_FIELDS_HPP

#include <optional>
#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::fleet {

/// What a worker's answer says to the system.
struct answer_fields {
  /// The attempt that it answers; empty if it names none.
  std::string attempt;
  /// The worker states that it did not run the request and never will.
  bool not_run = false;
  /// Its status alone tells callers that the request never runs.
  bool promises_no_run = false;
  /// Another lifetime holds the address, or the model isn't loaded.
  bool misdirected = false;
  /// What the server that answered registered under; empty if not told.
  std::string server;
  /// The server says that it leaves.
  bool leaving = false;
  /// The server turns the request away and wants nothing from this router for
  /// so long.
  std::optional<milliseconds> rest;
  /// Requests a second that the server takes from all routers together.
  std::optional<double> rate_limit;
  /// It bears the worker's proof that the answer is its own.
  bool stamped = false;
  /// Requests running and waiting at the worker, if it tells.
  std::optional<int> running;
  std::optional<int> waiting;
  /// How long work takes there at the moment, if it tells; 1 is the usual time.
  std::optional<double> pace;

  bool operator==(const answer_fields&) const = default;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_ANSWER_FIELDS_HPP
