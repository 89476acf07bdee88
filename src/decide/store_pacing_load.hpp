#ifndef BORAGEHILL_DECIDE_STORE_PACING_LOAD_HPP
#define BORAGEHILL_DECIDE_STORE_PACING_LOAD_HPP

#include <cstddef>
#include <cstdint>
#include <string>

#include <boragehill/checkpoint_tier.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// Bounds of `store_pacing`.
struct store_pacing_settings {
  /// Remote loads at once.
  std::uint32_t parallel = 4;
  /// The expected time of a load until some were measured.
  milliseconds load_time{20000};
  /// A slot held longer than this is taken back.
  milliseconds slot_limit{300000};
  /// The most loads waiting.
  std::size_t capacity = 1024;

  bool operator==(const store_pacing_settings&) const = default;
};

/// A load that a wake asks for.
struct paced_load {
  std::string server;
  std::string model;
  /// The earliest deadline among the requests that wait for it.
  time_point deadline;
  checkpoint_tier tier = checkpoint_tier::remote;

  bool operator==(const paced_load&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_STORE_PACING_LOAD_HPP
