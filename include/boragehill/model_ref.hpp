#ifndef BORAGEHILL_MODEL_REF_HPP
#define BORAGEHILL_MODEL_REF_HPP

#include <compare>
#include <string>
#include <string_view>

namespace boragehill {

/// A base model and, if one is asked for, an adapter: "valves-70b:spool".
struct model_ref {
  std::string base;
  std::string adapter;

  auto operator<=>(const model_ref&) const = default;

  /// Returns "base" or "base:adapter".
  std::string to_string() const;

  /// Splits the text at its first ':'.
  static model_ref parse(std::string_view text);
};

}  // namespace boragehill

#endif  // BORAGEHILL_MODEL_REF_HPP
