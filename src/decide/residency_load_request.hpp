#ifndef BORAGEHILL_DECIDE_RESIDENCY_LOAD_REQUEST_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_LOAD_REQUEST_HPP

#include <cstdint>
#include <string>

#include <boragehill/result_code.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::decide {

/// A home's request to load a granted model, optionally with an adapter.
struct residency_load_request {
  std::string model;
  std::string adapter;
  std::uint64_t bytes = 0;
  std::uint64_t adapter_bytes = 0;
  /// Negative: keep the model loaded as long as it is granted.
  milliseconds keep_warm{0};

  bool operator==(const residency_load_request&) const = default;
};

/// The response to a load request.
struct residency_load_outcome {
  /// ok (ready, or to be loaded), no_grant, no_memory, draining or
  /// engine_down.
  result_code code = result_code::ok;
  /// Expected time until the model is ready.
  milliseconds ready_in{0};

  bool operator==(const residency_load_outcome&) const = default;
};

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_LOAD_REQUEST_HPP
