#ifndef BORAGEHILL_SERVE_SERVER_CONNECTION_HPP
#define BORAGEHILL_SERVE_SERVER_CONNECTION_HPP

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

#include "http/message_parser.hpp"
#include "serve/server_answer.hpp"

namespace boragehill::serve {

/// A kept connection to a backend server; it carries one request at a time.
/// All of it runs on the context's thread.
class server_connection
    : public std::enable_shared_from_this<server_connection> {
 public:
  /// Called when an answer is complete and the connection may be used again.
  using idle_receiver = std::function<void(std::shared_ptr<server_connection>)>;
  /// Called once when the connection is of no more use.
  using closed_receiver = std::function<void()>;

  server_connection(asio::io_context& context, endpoint server,
                    idle_receiver on_idle, closed_receiver on_closed);

  /// Sends a request, connecting first if need be.
  /// \param bodiless The answer has no body whatever its head says (HEAD).
  void send(std::string request, bool bodiless,
            std::weak_ptr<server_answer> receiver);

  /// Stops reading the answer, so that a slow caller holds bounded memory.
  void pause();
  void resume();

  /// Breaks off: the server sees the close and drops the request.
  void abort();
  /// Breaks off with a reset, for a server whose machine stands still. After an
  /// orderly close it reads the request when it wakes, seconds after its caller
  /// left. A process that is stopped on a running kernel may read it all the
  /// same: a reset is a second line, behind sending it nothing.
  void abort_unread();

  bool closed() const { return this->ended; }
  /// \return How many requests were sent on it, the present one included.
  int request_count() const { return this->requests; }
  /// \return When the last answer ended.
  time_point idle_since() const { return this->last_used; }
  /// \return Until when the server keeps the connection if nothing is sent.
  time_point kept_until() const { return this->kept; }

 private:
  void connect();
  void write();
  void read();
  void on_bytes(std::string_view bytes);
  void take_body();
  void on_complete();
  void on_end_of_stream(bool in_order);
  void broken();
  void close();

  asio::ip::tcp::socket socket;
  asio::steady_timer connect_timer;
  endpoint server;
  idle_receiver on_idle;
  closed_receiver on_closed;
  std::weak_ptr<server_answer> receiver;
  http::message_parser parser;
  std::string request;
  std::array<char, 16384> buffer{};
  time_point last_used;
  time_point kept;
  int requests = 0;
  bool connected = false;
  bool busy = false;
  bool written = false;
  bool bodiless = false;
  bool head_told = false;
  bool skipping = false;
  /// Bytes since the request that aren't of its response.
  std::size_t skipped_bytes = 0;
  bool reusable = true;
  bool paused = false;
  bool reading = false;
  bool ended = false;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_SERVER_CONNECTION_HPP
