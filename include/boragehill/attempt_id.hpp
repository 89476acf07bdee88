#ifndef BORAGEHILL_ATTEMPT_ID_HPP
#define BORAGEHILL_ATTEMPT_ID_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace boragehill {

/// Names one attempt to run one request; unique over all routers and restarts.
///
///     attempt_id{"r1-5f3a", 17, 2}.to_string() == "r1-5f3a.17.2"
struct attempt_id {
  /// The router process that made it: its id and a random part, no '.'.
  std::string incarnation;
  /// The request within that process, from 1.
  std::uint64_t sequence = 0;
  /// The attempt within that request, from 1.
  std::uint32_t number = 0;

  // The linter takes the 0 that a rewritten comparison is held against for a
  // null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const attempt_id&) const = default;

  /// Returns "incarnation.sequence.number".
  std::string to_string() const;

  /// Returns the id that `to_string` wrote, or nothing if the text is not one.
  static std::optional<attempt_id> parse(std::string_view text);
};

}  // namespace boragehill

template <>
struct std::hash<boragehill::attempt_id> {
  std::size_t operator()(const boragehill::attempt_id& id) const noexcept;
};

#endif  // BORAGEHILL_ATTEMPT_ID_HPP
