#ifndef BORAGEHILL_ENDPOINT_HPP
#define BORAGEHILL_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragehill {

/// An IP address and port, as "10.1.2.3:7101".
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  // The linter takes the 0 that a rewritten comparison is held against for a
  // null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const endpoint&) const = default;

  /// Returns "address:port".
  std::string to_string() const;

  /// Returns the endpoint in the text, or nothing if it is not IP:port.
  static std::optional<endpoint> parse(std::string_view text);
};

}  // namespace boragehill

#endif  // BORAGEHILL_ENDPOINT_HPP
