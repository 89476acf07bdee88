#ifndef BORAGEHILL_DECIDE_SLOT_GRANT_HPP
#define BORAGEHILL_DECIDE_SLOT_GRANT_HPP

#include <string>

namespace boragehill::decide {

/// Free slots of a worker that one router may fill with waiting requests.
struct slot_grant {
  /// Identifies the incarnation of the worker.
  std::string server;
  std::string model;
  /// Empty for the model without an adapter.
  std::string adapter;
  int count = 0;

  bool operator==(const slot_grant&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_SLOT_GRANT_HPP
