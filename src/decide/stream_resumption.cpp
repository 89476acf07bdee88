#include "decide/stream_resumption.hpp"

namespace boragehill::decide {

namespace {

/// A planner that is lost is replaced within this. A caller whose stream can't
/// go on learns it while it can still ask anew.
constexpr milliseconds max_planner_wait{2000};

}  // namespace

version_binding bind_version(const stream_resumption& stream) {
  if (stream.origin) return only_version{*stream.origin};
  if (stream.is_named) {
    const bool may_be_told = stream.planner != planner_word::unknown &&
                             stream.waited < max_planner_wait;
    if (may_be_told) return awaited_version{};
    return unknown_version{};
  }
  if (stream.sole_version && stream.is_history_known) {
    return only_version{*stream.sole_version};
  }
  return unknown_version{};
}

}  // namespace boragehill::decide
