#ifndef BORAGEHILL_SERVE_QUARANTINE_KEEPER_HPP
#define BORAGEHILL_SERVE_QUARANTINE_KEEPER_HPP

#include <cstdint>
#include <optional>

#include "fleet/platform_store.hpp"
#include "fleet/quarantine_row.hpp"
#include "kernel/event_loop.hpp"

namespace boragehill::serve {

/// Keeps what this router's planner has quarantined in the store, one write at
/// a time. Runs on the loop's thread.
class quarantine_keeper {
 public:
  quarantine_keeper(kernel::event_loop& loop, fleet::platform_store& store)
      : loop(loop), store(store) {}

  /// The store's row was read.
  void on_read(const fleet::quarantine_row& row);

  /// Writes the row, whatever version it bears, after the one that is under
  /// way.
  void write(const fleet::quarantine_row& row);

 private:
  void write_next();
  void on_written(const result<fleet::quarantine_row>& standing);

  kernel::event_loop& loop;
  fleet::platform_store& store;
  /// The version that the next write replaces.
  std::int64_t version = 0;
  std::optional<fleet::quarantine_row> next;
  /// What is being written.
  std::optional<fleet::quarantine_row> pending;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_QUARANTINE_KEEPER_HPP
