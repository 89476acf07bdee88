#ifndef BORAGEHILL_ROUTER_PUBLISHED_CONFIG_HPP
#define BORAGEHILL_ROUTER_PUBLISHED_CONFIG_HPP

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boragehill/time_point.hpp>

#include "decide/catalog.hpp"
#include "decide/revision_view.hpp"

namespace boragehill::router {

/// The configuration in force and how sure the router is that it is the
/// newest, shared by its threads. Thread safe.
class published_config {
 public:
  published_config(decide::revision_view_settings settings, time_point now);

  /// Returns the catalog in force; never null.
  std::shared_ptr<const decide::catalog> current() const;

  /// Puts a newer catalog in force.
  ///
  /// \return False if it is not newer.
  bool apply(decide::catalog newer);

  /// Takes a read of the catalog row; see `revision_view`.
  bool on_table_read(std::uint64_t revision, time_point began);
  /// Takes a peer's answer to a heartbeat; see `revision_view`.
  bool on_peer_answer(const std::string& peer,
                      const decide::peer_revision& answer, time_point began);
  /// Notes that a peer did not answer; see `revision_view`.
  void on_peer_silent(const std::string& peer, time_point began);
  void on_tick(time_point now);

  decide::revision_readiness readiness(const std::vector<std::string>& peers,
                                       time_point now) const;
  std::optional<milliseconds> confirmed_age(time_point now) const;

 private:
  mutable std::mutex mutex;
  decide::revision_view view;
  std::shared_ptr<const decide::catalog> in_force;
};

}  // namespace boragehill::router

#endif  // BORAGEHILL_ROUTER_PUBLISHED_CONFIG_HPP
