#ifndef BORAGEHILL_STANDIN_STANDIN_SETTINGS_HPP
#define BORAGEHILL_STANDIN_STANDIN_SETTINGS_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace boragehill::standin {

/// What the command line says; each service reads its own part.
struct standin_settings {
  std::string service;
  std::string address;
  int port = 0;
  std::uint32_t threads = 0;
  /// How long an idle connection is kept.
  std::chrono::seconds keep_alive{1};
  double reads_per_s = 0;
  double writes_per_s = 0;
  std::chrono::milliseconds lag{0};
  std::uint32_t parallel = 0;
  std::chrono::milliseconds load{0};
  std::chrono::milliseconds load_memory{0};
  std::chrono::milliseconds load_disk{0};
  std::chrono::milliseconds unload{0};
  std::chrono::milliseconds report_lag{0};
  std::chrono::milliseconds delay{0};
  std::uint32_t slots = 0;
  double tokens_per_s = 0;
  std::uint64_t capacity_bytes = 0;
  std::string weight_store;
  bool check_fence = false;
  bool enforce_memory = false;
  std::uint32_t memory_checkpoints = 0;
  std::uint32_t disk_checkpoints = 0;
  std::vector<std::string> cached_memory;
  std::vector<std::string> cached_disk;
  /// The worker's lifetime, its service and the store it registers with.
  std::string id;
  std::string service_name;
  std::string software;
  /// Its entry and its reports tell when it started.
  bool tells_start = true;
  /// Between its start and its first entry.
  std::chrono::milliseconds register_delay{0};
  /// Where it says that it is, if not where it listens.
  std::string advertise;
  std::string store;
  /// What a request's body holds that ends the process; none if empty.
  std::string crash_marker;
  /// How long such a request runs before.
  std::chrono::milliseconds crash_delay{0};
};

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_STANDIN_SETTINGS_HPP
