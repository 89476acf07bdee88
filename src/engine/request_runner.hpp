#ifndef BORAGEHILL_ENGINE_REQUEST_RUNNER_HPP
#define BORAGEHILL_ENGINE_REQUEST_RUNNER_HPP

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/result.hpp>

namespace boragehill {
class answer_sink;
struct backend_request;
}  // namespace boragehill

namespace boragehill::engine {

namespace detail {
class running_request;
}

/// Runs callers' requests at one backend server, each sent at most once, from
/// any thread.
class request_runner {
 public:
  /// \param address Where the backend server listens.
  explicit request_runner(endpoint address);
  ~request_runner();

  request_runner(const request_runner&) = delete;
  request_runner& operator=(const request_runner&) = delete;

  /// Sends a request on a connection of its own and hands the answer over.
  ///
  /// \param request The request.
  /// \param sink Takes the answer, on this thread.
  /// \return Nothing once the whole answer went to the sink. Errors: those of
  ///   `backend::run`, and, with nothing sent, attempt_seen (the attempt is
  ///   running) and malformed_request (a line break in target or header).
  result<void> run(const backend_request& request, answer_sink& sink);

  /// Breaks off a running attempt, which then ends with caller_gone; unknown
  /// ones are ignored.
  void stop(const std::string& attempt);

 private:
  endpoint address;
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<detail::running_request>> running;
};

}  // namespace boragehill::engine

#endif  // BORAGEHILL_ENGINE_REQUEST_RUNNER_HPP
