#ifndef BORAGEHILL_SERVE_EXCHANGE_HOST_HPP
#define BORAGEHILL_SERVE_EXCHANGE_HOST_HPP

#include <memory>

#include <boragehill/result_code.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::fleet {
class request_codec;
struct answer_fields;
struct catalog;
}  // namespace boragehill::fleet

namespace boragehill::serve {

class exchange;

/// What a request that is being served needs of the router around it.
class exchange_host {
 public:
  exchange_host() = default;
  exchange_host(const exchange_host&) = delete;
  exchange_host& operator=(const exchange_host&) = delete;
  virtual ~exchange_host() = default;

  /// \return The configuration in force; null before the first is known.
  virtual std::shared_ptr<const fleet::catalog> catalog() const = 0;
  virtual const fleet::request_codec& codec() const = 0;

  /// Finds a server for a request, now or when one has room; calls
  /// `send_to` or `refuse` of it.
  virtual void place(const std::shared_ptr<exchange>& request) = 0;

  /// The request waits no longer.
  virtual void withdraw(const exchange& request) = 0;

  /// The head of an answer came from the server that has the request; it may
  /// be an answer to another one.
  virtual void on_answer_head(const exchange& request,
                              const fleet::answer_fields& answer) = 0;

  /// The first bytes of the server's answer came.
  virtual void on_answering(const exchange& request) = 0;

  /// More bytes of the server's answer came.
  virtual void on_heard(const exchange& request) = 0;

  /// The caller is slow: the server's answer isn't read for now.
  virtual void on_held_up(const exchange& request) = 0;
  virtual void on_resumed(const exchange& request) = 0;

  /// The request left the server it was sent to.
  virtual void on_left(const exchange& request) = 0;

  /// \return True if its bytes probably lie unread at the server, which has
  ///     been silent since before they were sent.
  virtual bool lies_unread(const exchange& request) const = 0;

  /// Finds out whether a response without a frame that ended in order is
  /// complete; calls `on_end_judged` of the request.
  virtual void confirm_end(const std::shared_ptr<exchange>& request) = 0;

  /// A server failed it: it couldn't be reached, or broke an answer off.
  virtual void on_server_failed(const exchange& request, bool reached) = 0;

  /// The last server that it was sent to has provably not run it.
  virtual void on_not_run(exchange& request) = 0;

  /// A server refused it because the model isn't there.
  virtual void on_model_missing(const exchange& request) = 0;

  /// Another lifetime answered at the server's address: the server is gone,
  /// though it is still listed.
  virtual void on_server_replaced(const exchange& request) = 0;

  /// \return The time until a server for the request takes any, if all of them
  ///     asked for rest; else zero.
  virtual milliseconds rest_left(const exchange& request) const = 0;

  /// \return True if the service's repeats leave room for one more; takes it.
  virtual bool take_repeat(const exchange& request) = 0;

  /// The request has its final answer.
  virtual void on_finished(const exchange& request) = 0;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_EXCHANGE_HOST_HPP
