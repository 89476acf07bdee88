#ifndef BORAGEHILL_FLEET_TEST_LATE_COPY_SERVER_HPP
#define BORAGEHILL_FLEET_TEST_LATE_COPY_SERVER_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <boragehill/endpoint.hpp>

namespace boragehill::fleet_test {

/// What a server does with one send of a request.
struct scripted_reply {
  /// Whether the server runs the request.
  bool runs = false;
  std::string bytes;
  /// Sent before the answer to the next request on the connection.
  std::string late_bytes;
};

/// A plain server whose answers may come a second time, where the answer to the
/// next request on their connection is expected.
class late_copy_server {
 public:
  /// \param reply Decides on a send; called with the attempt and how often the
  ///     attempt came so far, this time included.
  using replier = std::function<scripted_reply(const std::string&, int)>;

  explicit late_copy_server(replier reply);
  ~late_copy_server();
  late_copy_server(const late_copy_server&) = delete;
  late_copy_server& operator=(const late_copy_server&) = delete;

  /// \return What it writes to the store, as JSON.
  std::string entry() const;
  /// \return How often it has run an attempt.
  int runs_of(const std::string& attempt);
  /// \return How often an attempt came.
  int sends_of(const std::string& attempt);

 private:
  class connection;

  void accept();
  scripted_reply reply_to(const std::string& attempt);

  replier reply;
  asio::io_context context{1};
  asio::ip::tcp::acceptor acceptor;
  std::mutex mutex;
  std::map<std::string, int> sends;
  std::map<std::string, int> runs;
  std::thread thread;
};

}  // namespace boragehill::fleet_test

#endif  // BORAGEHILL_FLEET_TEST_LATE_COPY_SERVER_HPP
