#ifndef BORAGEHILL_ROUTER_PUBLISHER_HPP
#define BORAGEHILL_ROUTER_PUBLISHER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boragehill/profile.hpp>
#include <boragehill/result.hpp>

#include "router/catalog_row.hpp"
#include "router/profile_row.hpp"

namespace boragehill {
class table_service;
}

namespace boragehill::router {

/// All profiles as they stood together at one revision.
struct published_profiles {
  std::uint64_t revision = 0;
  std::vector<profile> profiles;

  bool operator==(const published_profiles&) const = default;
};

/// Reads and writes published configuration in the platform's table. Holds no
/// state; thread safe.
class publisher {
 public:
  explicit publisher(table_service& table) : table(table) {}

  /// Publishes a profile: its row, the global revision and the history in one
  /// transaction.
  ///
  /// \param wanted The row to write; its revision is set here.
  /// \param base The revision of the profile that the operator started from;
  ///   0 for a new one.
  /// \return The new global revision: the change is accepted and stays.
  ///   Errors: profile_conflict (another change came first; nothing was
  ///   written), platform_down and platform_throttled (nothing was written),
  ///   profile_unconfirmed (the answer was lost and the table can't be read
  ///   back: ask again with the same publish id).
  result<std::uint64_t> publish(profile_row wanted, std::uint64_t base);

  /// Reads the catalog row; revision 0 if nothing was ever published.
  result<catalog_row> read_catalog();

  /// Reads what is in force. Errors: platform_conflict (publishes kept coming
  /// in between; ask again), and those of reading.
  result<published_profiles> read_published();

  /// Reads all profiles, which may be of different revisions.
  result<std::vector<profile_row>> read_profiles();

  /// Reads one profile; nothing if there is none.
  result<std::optional<profile_row>> read_profile(const std::string& name);

  /// Reads every revision of a profile, oldest first.
  result<std::vector<profile_row>> read_history(const std::string& name);

 private:
  result<std::uint64_t> try_once(profile_row& wanted, std::uint64_t base);
  result<std::uint64_t> read_back(const profile_row& wanted);

  table_service& table;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_PUBLISHER_HPP
