#ifndef BORAGEHILL_DECIDE_STORE_PACING_LOAD_HPP
#define BORAGEHILL_DECIDE_STORE_PACING_LOAD_HPP

#include <cstddef>
#include <cstdint>
#include <string>

#include <boragehill/checkpoint_tier.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Settings of `store_load_scheduler`.
struct store_pacing_settings {
  /// Maximum number of concurrent remote loads.
  std::uint32_t parallel = 4;
  /// Load time that is assumed until one was measured.
  milliseconds load_time{20000};
  /// A slot held longer than this is freed.
  milliseconds slot_limit{300000};
  /// Maximum number of queued loads.
  std::size_t capacity = 1024;

  bool operator==(const store_pacing_settings&) const = default;
};

/// A load of a model at a server, queued in `store_load_scheduler`.
struct paced_load {
  std::string server;
  std::string model;
  /// The earliest deadline of the requests that wait for it.
  time_point deadline;
  checkpoint_tier tier = checkpoint_tier::remote;

  bool operator==(const paced_load&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STORE_PACING_LOAD_HPP
