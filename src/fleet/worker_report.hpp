#ifndef BORAGEHILL_FLEET_WORKER_REPORT_HPP
#define BORAGEHILL_FLEET_WORKER_REPORT_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/resident_model.hpp"

namespace boragehill::fleet {

/// What a model worker says of itself.
struct worker_report {
  /// The worker's lifetime; empty if it doesn't tell.
  std::string server;
  /// When the worker started, by its own clock, in milliseconds; 0 if it
  /// doesn't tell. Another value means another lifetime, earlier or later.
  std::int64_t born = 0;
  /// It says that it leaves.
  bool leaving = false;
  std::vector<resident_model> models;
  /// Adapters on their way to the worker, as "model/adapter".
  std::vector<std::string> coming;
  /// An order for a whole model is being carried out.
  bool busy = false;
  /// Orders accepted in this lifetime.
  std::int64_t sequence = 0;
  int running = 0;
  int waiting = 0;
  /// Models with a copy of their weights in main memory or on disk.
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;

  bool operator==(const worker_report&) const = default;

  /// \return The resident model of that name, or null.
  const resident_model* find(const std::string& name) const {
    for (const auto& each : this->models) {
      if (each.name == name) return &each;
    }
    return nullptr;
  }
};

}  // namespace boragehill::fleet

#endif  // BORAGEHILL_FLEET_WORKER_REPORT_HPP
