#ifndef BORAGEHILL_DECIDE_ISOLATION_DECISION_HPP
#define BORAGEHILL_DECIDE_ISOLATION_DECISION_HPP

#include <variant>

namespace boragehill::decide {

/// The request isn't implicated in a crash and runs without restrictions.
struct run_normally {
  bool operator==(const run_normally&) const = default;
};

/// The request was in flight at a crash. It runs only while no other implicated
/// request of its target runs, on a server that runs no other implicated one.
struct run_isolated {
  bool operator==(const run_isolated&) const = default;
};

/// The request crashes the servers that run it and is refused immediately.
struct quarantined {
  bool operator==(const quarantined&) const = default;
};

/// Whether and how a request may run, see `crash_attribution`.
using isolation_decision =
    std::variant<run_normally, run_isolated, quarantined>;

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_ISOLATION_DECISION_HPP
