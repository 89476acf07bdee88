#ifndef BORAGEHILL_SOAK_LINK_FAULT_HPP
#define BORAGEHILL_SOAK_LINK_FAULT_HPP

namespace boragehill::soak {

/// What a proxy does to the connections through it.
enum class link_fault {
  none,
  /// Each piece waits for a while.
  delay,
  /// Open connections are reset, once.
  reset,
  /// Nothing passes from the caller's side.
  cut_requests,
  /// Nothing passes back to it.
  cut_answers,
  /// Nothing passes either way; connections stay open.
  silence,
  /// All connections share a limited bandwidth.
  thin
};

}  // namespace boragehill::soak

#endif  // BORAGEHILL_SOAK_LINK_FAULT_HPP
