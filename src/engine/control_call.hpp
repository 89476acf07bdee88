#ifndef BORAGEHILL_ENGINE_CONTROL_CALL_HPP
#define BORAGEHILL_ENGINE_CONTROL_CALL_HPP

#include <string>

#include <boragehill/result.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill {
struct endpoint;
}

namespace boragehill::engine {

/// A whole answer of a backend server to a call of its agent's own.
struct control_answer {
  int status = 0;
  std::string body;

  bool operator==(const control_answer&) const = default;
};

/// Sends one call at most once, on a connection of its own.
///
/// \param address Where the backend server listens.
/// \param timeout How long the answer may take to begin.
/// \param method "GET" or "POST".
/// \param path The path.
/// \param body A JSON text, or empty.
/// \return Any whole answer, whatever its status. Errors: engine_down (never
///   sent), order_unknown (sent, and no whole answer came).
result<control_answer> call_backend(const endpoint& address,
                                    milliseconds timeout,
                                    const std::string& method,
                                    const std::string& path,
                                    const std::string& body = {});

}  // namespace boragehill::engine

#endif  // BORAGEHILL_ENGINE_CONTROL_CALL_HPP
