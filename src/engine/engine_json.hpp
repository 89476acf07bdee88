#ifndef BORAGEHILL_ENGINE_ENGINE_JSON_HPP
#define BORAGEHILL_ENGINE_ENGINE_JSON_HPP

#include <optional>
#include <string>
#include <string_view>

namespace boragehill {
struct engine_order;
struct engine_state;
}  // namespace boragehill

namespace boragehill::engine {

/// Reads a model engine's account of itself.
///
/// \return The state; nothing if any part of it is missing or unreadable.
std::optional<engine_state> parse_engine_state(std::string_view text);

/// Reads a plain service's account of itself, which holds no models.
///
/// \return The state; nothing if any part of it is missing or unreadable.
std::optional<engine_state> parse_service_state(std::string_view text);

/// Writes an order as the body of `POST /engine/orders`.
std::string write_order(const engine_order& order);

}  // namespace boragehill::engine

#endif  // BORAGEHILL_ENGINE_ENGINE_JSON_HPP
