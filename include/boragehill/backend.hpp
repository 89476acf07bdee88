#ifndef BORAGEHILL_BACKEND_HPP
#define BORAGEHILL_BACKEND_HPP

#include <string>

#include <boragehill/result.hpp>

namespace boragehill {

class answer_sink;
struct backend_request;
struct engine_order;
struct engine_state;

/// The model engine or plain service on a backend server, as its agent sees
/// it. Calls block and may be made from any thread.
class backend {
 public:
  virtual ~backend() = default;

  /// Reads the backend server's own account of itself.
  ///
  /// \return The state. Errors: engine_down.
  virtual result<engine_state> state() = 0;

  /// Carries out an order and waits until it is done.
  ///
  /// \return Nothing. Errors: order_fenced, no_memory, load_failed and
  ///   engine_refused (not done); order_unknown (perhaps done: read the state);
  ///   engine_down (never sent).
  virtual result<void> carry_out(const engine_order& order) = 0;

  /// Runs a request, sending it at most once.
  ///
  /// \return Nothing once the whole answer went to the sink. Errors:
  ///   engine_down (the connection was refused: never ran), engine_crashed (it
  ///   was sent and its answer is not whole), caller_gone (cancelled).
  virtual result<void> run(const backend_request& request,
                           answer_sink& sink) = 0;

  /// Asks the backend server to drop a running request; unknown ones are
  /// ignored.
  virtual void cancel(const std::string& attempt) = 0;
};

}  // namespace boragehill

#endif  // BORAGEHILL_BACKEND_HPP
