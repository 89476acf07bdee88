#ifndef BORAGEHILL_SERVE_STATUS_SERVER_HPP
#define BORAGEHILL_SERVE_STATUS_SERVER_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <boragehill/endpoint.hpp>

namespace boragehill::kernel {
class http_server;
}

namespace boragehill::serve {

/// Answers the platform's question whether the process is ready, or a scrape
/// of its metrics, on an address of its own.
class status_server {
 public:
  /// Returns the answer's body, or nothing if the answer is 503.
  using answer_source = std::function<std::optional<std::string>()>;

  status_server(const std::string& path, answer_source source);
  status_server(const status_server&) = delete;
  status_server& operator=(const status_server&) = delete;
  ~status_server();

  /// Binds and begins to answer.
  /// \return False if the address can't be had.
  bool start(const endpoint& address);
  void stop();

 private:
  std::unique_ptr<kernel::http_server> server;
  std::thread thread;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_STATUS_SERVER_HPP
