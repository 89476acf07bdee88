#ifndef BORAGEHILL_DECIDE_INTERRUPTION_LOG_HPP
#define BORAGEHILL_DECIDE_INTERRUPTION_LOG_HPP

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/interruption.hpp"

namespace boragehill::decide {

/// The interruptions that a router reports to the planner, one for each server
/// however many responses broke off there.
class interruption_log {
 public:
  /// Interruptions that are kept for a planner that has no counts yet.
  static constexpr milliseconds retention{30000};
  /// Maximum number of stored interruptions.
  static constexpr std::size_t max_interruptions = 256;

  /// Records a response that broke off.
  /// \param request Its fingerprint.
  /// \param run How long it had been under way at the server, and whether it
  ///     counts as a run.
  /// \param parts Of its prompt, in their order.
  void add(const std::string& server, const std::string& request,
           const suspect_sighting& run, const std::vector<std::string>& parts,
           time_point now);

  /// \return What has been added since the last call.
  std::vector<interruption> take_unreported(time_point now);

  /// Reports all that is kept once more.
  void report_again();

 private:
  struct entry {
    time_point at;
    interruption found;
    bool reported = false;
  };

  entry& entry_of(const std::string& server, time_point now);
  void drop_expired(time_point now);

  std::deque<entry> entries;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_INTERRUPTION_LOG_HPP
