#ifndef BORAGEHILL_DECIDE_DECISION_NOTE_HPP
#define BORAGEHILL_DECIDE_DECISION_NOTE_HPP

#include <string>

#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// A decision and its reason, kept for `explain`.
struct decision_note {
  time_point at;
  /// The attempt concerned; empty for a decision about the target.
  std::string attempt;
  std::string text;

  bool operator==(const decision_note&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_DECISION_NOTE_HPP
