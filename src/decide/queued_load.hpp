#ifndef BORAGEHILL_DECIDE_QUEUED_LOAD_HPP
#define BORAGEHILL_DECIDE_QUEUED_LOAD_HPP

#include <cstddef>
#include <cstdint>
#include <string>

#include <boragehill/checkpoint_tier.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Settings of `store_load_scheduler`.
struct store_load_scheduler_settings {
  /// Maximum number of concurrent remote loads.
  std::uint32_t max_parallel = 4;
  /// Load time that is assumed until one is measured.
  milliseconds initial_load_time{20000};
  /// A slot held longer than this is freed.
  milliseconds slot_timeout{300000};
  /// Maximum number of queued loads.
  std::size_t max_waiting = 1024;

  bool operator==(const store_load_scheduler_settings&) const = default;
};

/// A load of a model at a server, queued in `store_load_scheduler`.
struct queued_load {
  std::string server;
  std::string model;
  /// The earliest deadline of the requests that wait for it.
  time_point deadline;
  checkpoint_tier tier = checkpoint_tier::remote;

  bool operator==(const queued_load&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_QUEUED_LOAD_HPP
