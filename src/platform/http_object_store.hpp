#ifndef BORAGEHILL_PLATFORM_HTTP_OBJECT_STORE_HPP
#define BORAGEHILL_PLATFORM_HTTP_OBJECT_STORE_HPP

#include <optional>
#include <string>

#include <boragehill/object_store.hpp>

#include "platform/http_caller.hpp"

namespace boragehill::kernel {
struct plugin_settings;
}

namespace boragehill::platform {

/// The platform's object store over HTTP, registered as "http". Besides the
/// errors of the interface a call may end with platform_throttled (not done).
class http_object_store : public object_store {
 public:
  /// \param settings Where the store listens and how long a call may take.
  explicit http_object_store(const kernel::plugin_settings& settings);

  result<std::optional<std::string>> get(const std::string& name) override;
  result<void> put(const std::string& name, const std::string& value) override;
  result<void> remove(const std::string& name) override;

 private:
  http_caller caller;
};

}  // namespace boragehill::platform

#endif  // BORAGEHILL_PLATFORM_HTTP_OBJECT_STORE_HPP
