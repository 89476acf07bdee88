#ifndef BORAGEHILL_DECIDE_CRASH_SUSPECTS_HPP
#define BORAGEHILL_DECIDE_CRASH_SUSPECTS_HPP

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/interruption.hpp"

namespace boragehill::decide {

/// Finds the parts of prompts that crash each server which begins to respond to
/// them, from the requests that were in flight at servers that ended.
///
/// Such a part is in flight at each of these crashes, and no response with it
/// is ever complete. Other parts are in flight there by chance: a complete
/// response clears them, and the crashes that a quarantined part explains are
/// counted for no other.
class crash_suspects {
 public:
  /// Crashes after which a part is quarantined.
  static constexpr std::size_t crash_limit = 3;
  /// Servers that end within this time are one crash: a failure domain that is
  /// lost takes many servers with it, whatever they were sent.
  static constexpr milliseconds same_crash{50};
  /// Routers are asked for complete responses with a part after its second
  /// crash, and have so long to tell of one.
  static constexpr milliseconds hearing{300};
  /// A server that responds so long after an interruption has not ended.
  static constexpr milliseconds alive_after{500};
  /// How long crashes and quarantines count.
  static constexpr milliseconds retention{600000};
  /// How long an interruption waits to be shown to be a crash.
  static constexpr milliseconds confirmation_limit{10000};
  /// Maximum number of stored parts.
  static constexpr std::size_t max_parts = 1024;
  /// Maximum number of servers with interruptions that are stored.
  static constexpr std::size_t max_servers = 256;
  /// Maximum number of parts stored of one server, and of crashes of one part.
  static constexpr std::size_t max_parts_of_server = 256;
  static constexpr std::size_t max_crashes_of_part = 8;

  /// Records responses that a server interrupted. Several routers may report
  /// the same server.
  void on_interrupted(const interruption& found, time_point now);

  /// Records that a server's process has ended.
  void on_server_ended(const std::string& server, time_point now);

  /// Records that a server's process still runs.
  void on_server_responded(const std::string& server, time_point now);

  /// Records a complete response, after the part's first crash, to a request
  /// that holds the part.
  /// \return True if it was quarantined.
  bool on_completed(const std::string& part);

  /// Records that a request with the part had a complete response before the
  /// part's first crash: others are blamed before it.
  void on_completed_before(const std::string& part);

  /// Quarantines a part that an earlier planner found.
  void quarantine(const std::string& part, time_point now);

  /// Quarantines the parts that have reached the limit.
  /// \return The newly quarantined ones.
  std::vector<std::string> update(time_point now);

  /// \return Servers with interruptions of which it isn't known whether they
  ///     ended.
  std::vector<std::string> unconfirmed() const;

  /// \return All quarantined parts.
  std::vector<std::string> quarantined(time_point now) const;

  /// \return The servers whose crashes count against a part.
  std::vector<std::string> servers_of(const std::string& part) const;

  /// \return The number of stored parts.
  std::size_t size() const { return this->parts.size(); }

  /// \return The parts that routers are asked about, quarantined ones among
  ///     them, with the time of the first crash that counts against each.
  std::map<std::string, time_point> suspected(time_point now) const;

 private:
  struct crash {
    std::string server;
    time_point at;
  };
  struct part_entry {
    std::vector<crash> crashes;
    int position = 0;
    bool asked = false;
    bool completed_before = false;
    bool quarantined = false;
    time_point asked_at;
    time_point recorded_at;
  };
  struct server_entry {
    time_point interrupted_at;
    /// The position in the prompt by part.
    std::map<std::string, int> parts;
    bool ended = false;
  };
  using part_map = std::map<std::string, part_entry>;

  static std::size_t count(const part_entry& known);
  void add_crash(const std::string& server, const server_entry& known,
                 const std::map<std::string, int>& parts, time_point now);
  /// \return True if a quarantined part was in flight at the server.
  bool is_explained(const server_entry& known) const;
  /// \return The parts to blame next; several if nothing tells them apart.
  std::vector<std::string> next_to_quarantine(time_point now) const;
  /// Counts the crash of a server for no part that isn't quarantined.
  void forget_crash(const std::string& server);
  void drop_expired(time_point now);
  void evict_excess();

  part_map parts;
  std::map<std::string, server_entry> servers;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_CRASH_SUSPECTS_HPP
