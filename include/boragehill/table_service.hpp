#ifndef BORAGEHILL_TABLE_SERVICE_HPP
#define BORAGEHILL_TABLE_SERVICE_HPP

#include <optional>
#include <string>
#include <vector>

#include <boragehill/result.hpp>

namespace boragehill {

struct table_row;
struct table_write;

/// The platform's transactional table. Calls block for at most the time limit
/// that the plug-in was made with, and may be made from any thread.
class table_service {
 public:
  virtual ~table_service() = default;

  /// Reads one row.
  ///
  /// \param key The row's key.
  /// \return The row; nothing if there is none. Errors: platform_down,
  ///   platform_throttled, platform_bad_answer.
  virtual result<std::optional<table_row>> read(const std::string& key) = 0;

  /// Reads all rows whose key begins with a prefix, in key order.
  ///
  /// \param prefix The beginning of the keys.
  /// \return The rows; errors as for `read`.
  virtual result<std::vector<table_row>> read_prefix(
      const std::string& prefix) = 0;

  /// Makes all writes or none.
  ///
  /// \param writes The guarded steps; each key once.
  /// \return The new etags, one a step, in order. Errors: platform_conflict (a
  ///   guard failed, nothing was written), platform_down and
  ///   platform_throttled (not written), platform_answer_lost (it may have
  ///   been written: read back before anything else).
  virtual result<std::vector<std::string>> transact(
      const std::vector<table_write>& writes) = 0;
};

}  // namespace boragehill

#endif  // BORAGEHILL_TABLE_SERVICE_HPP
