#ifndef BORAGEHILL_TABLE_WRITE_HPP
#define BORAGEHILL_TABLE_WRITE_HPP

#include <optional>
#include <string>

namespace boragehill {

/// One guarded step of a table transaction.
///
/// An empty `etag` asks that no such row stands; another asks that the row
/// stands with just this etag. Without a `value` the row is removed, unless
/// `check_only` is set: then the row is guarded and left as it is.
struct table_write {
  std::string key;
  std::string etag;
  std::optional<std::string> value;
  bool check_only = false;

  bool operator==(const table_write&) const = default;
};

}  // namespace boragehill

#endif  // BORAGEHILL_TABLE_WRITE_HPP
