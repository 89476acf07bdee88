#ifndef BORAGEHILL_PLATFORM_HTTP_TABLE_SERVICE_HPP
#define BORAGEHILL_PLATFORM_HTTP_TABLE_SERVICE_HPP

#include <optional>
#include <string>
#include <vector>

#include <boragehill/table_row.hpp>
#include <boragehill/table_service.hpp>
#include <boragehill/table_write.hpp>

#include "platform/http_caller.hpp"

namespace boragehill::kernel {
struct plugin_settings;
}

namespace boragehill::platform {

/// The platform's table over HTTP, registered as "http". Keys travel in JSON
/// bodies, so they may hold any printable character.
class http_table_service : public table_service {
 public:
  /// \param settings Where the table listens and how long a call may take.
  explicit http_table_service(const kernel::plugin_settings& settings);

  result<std::optional<table_row>> read(const std::string& key) override;
  result<std::vector<table_row>> read_prefix(
      const std::string& prefix) override;
  result<std::vector<std::string>> transact(
      const std::vector<table_write>& writes) override;

 private:
  http_caller caller;
};

}  // namespace boragehill::platform

#endif  // BORAGEHILL_PLATFORM_HTTP_TABLE_SERVICE_HPP
