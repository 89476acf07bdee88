#ifndef BORAGEHILL_HTTP_HEADER_LIST_HPP
#define BORAGEHILL_HTTP_HEADER_LIST_HPP

#include <string>
#include <string_view>
#include <vector>

#include "http/header.hpp"

namespace boragehill::http {

/// The headers of a message in their order; names compare without case.
class header_list {
 public:
  bool operator==(const header_list&) const = default;

  /// Adds a header at the end.
  void add(std::string name, std::string value);

  /// \return The first value of that name, or null.
  const std::string* find(std::string_view name) const;

  /// \return True if a comma-separated header holds the token.
  bool has_token(std::string_view name, std::string_view token) const;

  /// \return All headers, in their order.
  const std::vector<header>& all() const { return this->headers; }

 private:
  std::vector<header> headers;
};

/// \return True if both are the same text but for case.
bool same_name(std::string_view left, std::string_view right);

/// \return True if the headers say that the body is an event stream.
bool is_event_stream(const header_list& headers);

/// \return True for headers that concern one connection only.
bool is_hop_by_hop(std::string_view name);

}  // namespace boragehill::http

#endif  // BORAGEHILL_HTTP_HEADER_LIST_HPP
