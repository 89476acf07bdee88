#include <arpa/inet.h>
#include <array>
#include <charconv>

#include <boragehill/endpoint.hpp>

namespace boragehill {

std::string endpoint::to_string() const {
  return this->address + ":" + std::to_string(this->port);
}

std::optional<endpoint> endpoint::parse(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::string host(text.substr(0, colon));
  // inet_pton reads up to a NUL byte: what comes behind it would become part of
  // an address that passed as good.
  if (host.find('\0') != std::string::npos) return std::nullopt;
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  const bool is_ip = inet_pton(AF_INET, host.c_str(), bytes.data()) == 1 ||
                     inet_pton(AF_INET6, host.c_str(), bytes.data()) == 1;
  if (!is_ip) return std::nullopt;
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc{} || stop != end) return std::nullopt;
  return endpoint{host, port};
}

}  // namespace boragehill
