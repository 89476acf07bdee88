#ifndef BORAGEHILL_TABLE_ROW_HPP
#define BORAGEHILL_TABLE_ROW_HPP

#include <string>

namespace boragehill {

/// One row of the platform's table as it was read.
struct table_row {
  std::string key;
  std::string value;
  /// Changes with every write; given back as the guard of a write.
  std::string etag;

  bool operator==(const table_row&) const = default;
};

}  // namespace boragehill

#endif  // BORAGEHILL_TABLE_ROW_HPP
