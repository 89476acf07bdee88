#ifndef BORAGEHILL_WIRE_MESSAGE_LINK_HPP
#define BORAGEHILL_WIRE_MESSAGE_LINK_HPP

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <json/json.h>
#include <memory>
#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::wire {

/// A kept connection between two processes of ours that carries JSON messages
/// both ways, one a line. All of it runs on the context's thread.
///
/// State flows here ten times a second and nothing waits for an answer, which
/// is why it is not JSON-RPC. Each side sends a heartbeat when it has nothing
/// else to say, and takes the other for lost after `silence_limit`: a peer
/// without power or path ends no connection.
class message_link : public std::enable_shared_from_this<message_link> {
 public:
  using message_receiver = std::function<void(const Json::Value&)>;
  using end_receiver = std::function<void()>;

  /// A frozen peer is noticed within this; three lost heartbeats.
  static constexpr milliseconds silence_limit{1000};
  static constexpr milliseconds heartbeat_interval{300};
  /// A connection within a region takes some milliseconds; a peer without
  /// power answers nothing.
  static constexpr milliseconds connect_limit{150};
  /// A peer that reads this slowly is better reconnected.
  static constexpr std::size_t max_queued_bytes = 4U << 20U;
  static constexpr std::size_t max_line_bytes = 8U << 20U;

  explicit message_link(asio::io_context& context);

  /// Connects to a peer; messages sent meanwhile wait.
  void connect(const endpoint& peer);

  /// Takes over an accepted connection.
  void accept(asio::ip::tcp::socket accepted);

  /// Sets what is called for each message and, once, when the link ends.
  void on_events(message_receiver receive, end_receiver on_end);

  void send(const Json::Value& message);

  /// Ends the link without calling the end receiver.
  void close();

  bool open() const { return this->connected && !this->ended; }
  /// \return True if the peer was reached, also if the link has ended since.
  bool was_connected() const { return this->connected; }

 private:
  void begin();
  void read();
  void take_lines();
  void write();
  void beat();
  void watch_silence();
  void end();

  asio::ip::tcp::socket socket;
  asio::steady_timer heartbeat;
  asio::steady_timer silence;
  std::array<char, 16384> buffer{};
  std::string incoming;
  std::string outgoing;
  std::string in_flight;
  message_receiver receive;
  end_receiver on_end;
  time_point last_sent;
  bool connected = false;
  bool writing = false;
  bool ended = false;
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_MESSAGE_LINK_HPP
