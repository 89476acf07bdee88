#include "decide/stream_resumption.hpp"

namespace boragehill::decide {

namespace {

/// A planner that is lost is replaced within this. A caller whose stream can't
/// go on learns it while it can still ask anew.
constexpr milliseconds max_planner_wait{2000};

}  // namespace

version_binding bind_version(const stream_resumption& stream) {
  if (stream.origin) return only_version{*stream.origin};
  const bool is_answered = stream.planner == planner_word::unknown;
  if (stream.is_named && !is_answered) {
    if (stream.waited < max_planner_wait) return awaited_version{};
    return unknown_version{};
  }
  const bool is_sole =
      stream.sole_version && (stream.is_history_known || !stream.is_named);
  if (is_sole) return only_version{*stream.sole_version};
  return unknown_version{};
}

}  // namespace boragehill::decide
