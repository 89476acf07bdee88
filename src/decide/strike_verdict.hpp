#ifndef BORAGEHILL_DECIDE_STRIKE_VERDICT_HPP
#define BORAGEHILL_DECIDE_STRIKE_VERDICT_HPP

#include <variant>

namespace boragehill::decide {

/// The request isn't implicated in a crash and runs without restrictions.
struct free_to_run {
  bool operator==(const free_to_run&) const = default;
};

/// The request was in flight at a crash. It runs only while no other implicated
/// request of its target runs, on a server that runs no other implicated one.
struct run_alone {
  bool operator==(const run_alone&) const = default;
};

/// The request crashes the servers that run it and is refused immediately.
struct convicted {
  bool operator==(const convicted&) const = default;
};

/// Whether and how a request may run, see `crash_attribution`.
using strike_verdict = std::variant<free_to_run, run_alone, convicted>;

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STRIKE_VERDICT_HPP
