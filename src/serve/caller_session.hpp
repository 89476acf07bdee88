#ifndef BORAGEHILL_SERVE_CALLER_SESSION_HPP
#define BORAGEHILL_SERVE_CALLER_SESSION_HPP

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boragehill/time_point.hpp>

#include "decide/held_response.hpp"
#include "http/header_list.hpp"
#include "http/message_parser.hpp"

namespace boragehill::serve {

class exchange;
class session_host;

/// One connection of a caller: reads a request, hands it over, writes its
/// answer, then the next. All of it runs on the context's thread.
///
/// It goes on reading while a request is served, so that a caller that hangs
/// up is seen at once.
class caller_session : public std::enable_shared_from_this<caller_session> {
 public:
  caller_session(asio::ip::tcp::socket socket, session_host& host);

  void start();

  /// Begins an answer.
  /// \param headers Without those that concern the connection or the length.
  /// \param length Of the body; nothing if it isn't known yet.
  void begin_answer(int status, http::header_list headers,
                    std::optional<std::uint64_t> length);
  /// Sends a piece of the body.
  void send_body(const std::string& bytes);
  /// The answer is complete.
  void end_answer();
  /// Breaks the answer off, so that it can't be taken for a complete one.
  void break_off();

  /// Sends an answer whose body is at hand.
  void answer(int status, http::header_list headers, const std::string& body);

  /// \return True if the caller takes the answer slower than it comes.
  bool congested() const;

  /// \return What it holds for its caller.
  decide::held_response held_response() const;

  /// \return The request whose response it writes, or wrote last; empty if none
  ///     was answered by a server.
  const std::string& answered_attempt() const;

  /// Ends it and its request, as if the caller had.
  void disconnect() { this->on_gone(); }

  /// \return True if the caller has closed or reset the connection, though that
  ///     may not have been read yet.
  bool has_left();

  /// Ends the connection unless a request is on it or may be on its way.
  void close_when_idle();

  /// \return True if a request is being read or, on a new connection, may be on
  ///     its way.
  bool awaits_request();

  /// Rejects a request that isn't whole. One that becomes whole later is
  /// rejected by the host.
  void stop_reading_request();

  /// Ends it now.
  void close();

 private:
  void arm(milliseconds limit, const char* why);
  void on_timeout(const char* why);
  void on_idle();
  void read();
  void on_bytes(std::size_t size);
  /// Reads on so that the caller gets the last response whole.
  void drop_bytes(std::size_t size);
  void process();
  bool check_size();
  /// Counts the body's bytes that were read against the memory of all.
  bool hold_body();
  void let_go_body();
  void begin_request();
  void reject(int status, const char* why);
  /// \return True if bytes of the caller haven't been read.
  bool has_unread_bytes();
  void queue(const std::string& bytes);
  /// Counts the bytes that are held against the memory of all responses.
  void count_held();
  void write();
  void on_written();
  void next_request();
  /// Ends the connection when the caller's kernel has all that is held.
  void finish_sending();
  void wait_for_close();
  /// \return True if the caller has taken bytes since the wait for it began.
  bool is_taking();
  void on_gone();

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  session_host& host;
  http::message_parser parser;
  std::shared_ptr<exchange> current;
  /// Of the last response that is complete.
  std::string last_attempt;
  std::array<char, 16384> buffer{};
  std::string incoming;
  std::string body;
  /// Bytes counted against the memory of all bodies, until the answer is out.
  std::size_t held = 0;
  std::string outgoing;
  std::string in_flight;
  /// Bytes of both that are counted against the memory of all responses.
  std::size_t counted = 0;
  /// Bytes that the caller had acknowledged when the wait for it began.
  std::uint64_t taken = 0;
  /// When the caller last took any of them, or when the first came.
  time_point last_taken;
  time_point accepted = time_point::clock::now();
  /// A request came on the connection.
  bool used = false;
  bool reading = false;
  bool writing = false;
  bool head_request = false;
  bool chunked = false;
  /// The caller's request was of HTTP/1.1, which knows chunks.
  bool http11 = true;
  /// The answer ends with its connection.
  bool unframed = false;
  bool keep_alive = true;
  bool lingering = false;
  /// Bytes since the last response.
  std::size_t dropped_bytes = 0;
  bool closed = false;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_CALLER_SESSION_HPP
