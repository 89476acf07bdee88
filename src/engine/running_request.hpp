#ifndef BORAGEHILL_ENGINE_RUNNING_REQUEST_HPP
#define BORAGEHILL_ENGINE_RUNNING_REQUEST_HPP

#include <atomic>
#include <httplib.h>

#include <boragehill/result.hpp>

namespace boragehill {
class answer_sink;
struct backend_request;
struct endpoint;
}  // namespace boragehill

namespace boragehill::engine::detail {

/// One request on its own connection to a backend server.
class running_request {
 public:
  /// \param address Where the backend server listens.
  explicit running_request(const endpoint& address);

  /// Sends the request and hands its answer over; called once.
  ///
  /// \return As `request_runner::run`.
  result<void> run(const backend_request& request, answer_sink& sink);

  /// Breaks the request off, from any thread.
  void stop();

 private:
  result<void> judge(bool received, const httplib::Response& response,
                     httplib::Error error) const;

  httplib::Client client;
  std::atomic<bool> is_stopped{false};
};

}  // namespace boragehill::engine::detail

#endif  // BORAGEHILL_ENGINE_RUNNING_REQUEST_HPP
