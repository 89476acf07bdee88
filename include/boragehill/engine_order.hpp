#ifndef BORAGEHILL_ENGINE_ORDER_HPP
#define BORAGEHILL_ENGINE_ORDER_HPP

#include <cstdint>
#include <string>

namespace boragehill {

/// What an order asks of an engine.
enum class order_kind { load, unload };

/// One order to an engine. The engine answers once it is carried out.
struct engine_order {
  order_kind kind = order_kind::load;
  /// A model, or an adapter as "base:adapter".
  std::string model;
  std::uint64_t bytes = 0;
  /// The agent's fencing number; an engine that checks it refuses lower ones.
  std::uint64_t fence = 0;
  /// Grows with every order of one agent; an engine takes no older one again.
  std::uint64_t sequence = 0;

  bool operator==(const engine_order&) const = default;
};

}  // namespace boragehill

#endif  // BORAGEHILL_ENGINE_ORDER_HPP
