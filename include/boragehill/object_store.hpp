#ifndef BORAGEHILL_OBJECT_STORE_HPP
#define BORAGEHILL_OBJECT_STORE_HPP

#include <optional>
#include <string>

#include <boragehill/result.hpp>

namespace boragehill {

/// The platform's object store: whole objects by name, written once.
class object_store {
 public:
  virtual ~object_store() = default;

  /// Reads an object; nothing if there is none. Errors: platform_down.
  virtual result<std::optional<std::string>> get(const std::string& name) = 0;

  /// Writes an object whole; writing the same name again replaces it. Errors:
  /// platform_down, platform_answer_lost.
  virtual result<void> put(const std::string& name,
                           const std::string& value) = 0;

  /// Removes an object if it stands. Errors: platform_down.
  virtual result<void> remove(const std::string& name) = 0;
};

}  // namespace boragehill

#endif  // BORAGEHILL_OBJECT_STORE_HPP
