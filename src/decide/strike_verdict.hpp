#ifndef BORAGEHILL_DECIDE_STRIKE_VERDICT_HPP
#define BORAGEHILL_DECIDE_STRIKE_VERDICT_HPP

#include <variant>

namespace boragehill::decide {

/// No crash is held against the request.
struct free_to_run {
  bool operator==(const free_to_run&) const = default;
};

/// The request was in flight at a crash: it runs while no other struck request
/// of its target runs, on a server that runs no other struck request.
struct run_alone {
  bool operator==(const run_alone&) const = default;
};

/// The request crashes what runs it: refuse it at once.
struct convicted {
  bool operator==(const convicted&) const = default;
};

/// How a request may run.
using strike_verdict = std::variant<free_to_run, run_alone, convicted>;

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STRIKE_VERDICT_HPP
