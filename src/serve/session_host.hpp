#ifndef BORAGEHILL_SERVE_SESSION_HOST_HPP
#define BORAGEHILL_SERVE_SESSION_HOST_HPP

#include <cstddef>
#include <memory>

#include "fleet/caller_limits.hpp"
#include "serve/caller_request.hpp"

namespace boragehill::serve {

class caller_session;
class exchange;

/// What a caller's connection needs of the router around it.
class session_host {
 public:
  session_host() = default;
  session_host(const session_host&) = delete;
  session_host& operator=(const session_host&) = delete;
  virtual ~session_host() = default;

  virtual const fleet::caller_limits& limits() const = 0;

  /// Begins to serve a request; its answer goes to the session.
  virtual std::shared_ptr<exchange> begin(
      caller_request request,
      const std::shared_ptr<caller_session>& session) = 0;

  /// \return True if connections shall end after their current answer.
  virtual bool closing() const = 0;

  /// Takes memory for bytes of request bodies, which all connections share.
  /// \return False if there is none left.
  virtual bool take_body_memory(std::size_t bytes) = 0;
  virtual void give_body_memory(std::size_t bytes) = 0;

  /// A session holds more or fewer bytes of responses than before.
  virtual void on_response_bytes(std::size_t before, std::size_t after) = 0;

  /// \return Bytes of a response above which a session's server is not read
  ///     on.
  virtual std::size_t response_pause_limit() const = 0;

  /// A request was refused before it could be routed.
  virtual void on_bad_input(int status, const char* why) = 0;

  virtual void on_closed(const caller_session* session) = 0;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_SESSION_HOST_HPP
