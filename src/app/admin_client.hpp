#ifndef BORAGEHILL_APP_ADMIN_CLIENT_HPP
#define BORAGEHILL_APP_ADMIN_CLIENT_HPP

#include <json/value.h>
#include <optional>
#include <string>

#include <boragehill/endpoint.hpp>

#include "app/exit_code.hpp"

namespace boragehill::app {

/// What a router's operators' listener answered.
struct admin_answer {
  /// ok if the body is the answer; else why not.
  exit_code code = exit_code::ok;
  Json::Value body;
  /// The error, for people: number, name, message and what to do.
  std::string error;
};

/// Speaks to the operators' listener of one router.
class admin_client {
 public:
  admin_client(endpoint router, std::string token);

  /// Reads a path below `/admin/v1/`.
  admin_answer get(const std::string& path) const;

  /// Publishes a profile.
  ///
  /// \param source The profile's TOML text.
  /// \param base The revision that the change starts from.
  /// \param publish_id Names this publish, so that asking again is harmless.
  admin_answer publish(const std::string& source, std::uint64_t base,
                       const std::string& publish_id) const;

 private:
  endpoint router;
  std::string token;
};

/// Makes a client of the flags `--router` and `--token_file`.
///
/// \return Nothing if a flag is missing or wrong; the reason is printed.
std::optional<admin_client> client_of_flags();

}  // namespace boragehill::app

#endif  // BORAGEHILL_APP_ADMIN_CLIENT_HPP
