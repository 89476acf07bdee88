#ifndef BORAGEHILL_FLEET_PLATFORM_STORE_HPP
#define BORAGEHILL_FLEET_PLATFORM_STORE_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boragehill/result.hpp>

#include "fleet/catalog.hpp"
#include "fleet/planner_row.hpp"
#include "fleet/planner_state.hpp"
#include "fleet/quarantine_row.hpp"
#include "fleet/server_list.hpp"
#include "fleet/store_statistics.hpp"

namespace boragehill::fleet {

/// What the processes read from and keep in the platform's store. Calls return
/// at once; each callback runs on the store's own thread, so its receiver
/// posts to its own loop.
class platform_store {
 public:
  using catalog_receiver = std::function<void(std::shared_ptr<const catalog>)>;
  using servers_receiver =
      std::function<void(std::shared_ptr<const server_list>)>;
  using planner_receiver = std::function<void(result<planner_row>)>;
  using state_receiver = std::function<void(result<planner_state>)>;
  using quarantine_receiver = std::function<void(result<quarantine_row>)>;
  using number_receiver = std::function<void(result<std::int64_t>)>;

  platform_store() = default;
  platform_store(const platform_store&) = delete;
  platform_store& operator=(const platform_store&) = delete;
  virtual ~platform_store() = default;

  /// Follows the operator's configuration; each newer version is received
  /// once, never an older one after it.
  virtual void follow_catalog(catalog_receiver receive) = 0;

  /// Follows the list of backend servers. A server that only lapsed while the
  /// store was away stays listed until the store has been back for a while.
  virtual void follow_servers(servers_receiver receive) = 0;

  /// Reads which router plans, and what is quarantined.
  virtual void read_planner(state_receiver receive) = 0;

  /// Makes this router the planner if nobody else became it since `known`.
  /// Receives the row then in force, whoever it names, or an error if the
  /// outcome isn't known.
  virtual void take_planner(const planner_row& known, const planner_row& own,
                            planner_receiver receive) = 0;

  /// Writes what is quarantined if nobody else wrote it since `row.version`.
  /// Receives the row then in force, or an error if the outcome isn't known.
  virtual void write_quarantine(const quarantine_row& row,
                                quarantine_receiver receive) = 0;

  /// Takes a number higher than all that any process took before; it guards
  /// orders against those of an earlier lifetime.
  virtual void take_fence(const std::string& holder,
                          number_receiver receive) = 0;

  /// \return What was read until now; may be called from any thread.
  virtual store_statistics statistics() const = 0;

  /// Begins to read; called once, after the receivers are set.
  virtual void start() = 0;

  /// Ends all calls and joins the thread; no callback runs afterwards.
  virtual void stop() = 0;
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_PLATFORM_STORE_HPP
