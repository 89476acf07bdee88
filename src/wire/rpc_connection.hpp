#ifndef BORAGEHILL_WIRE_RPC_CONNECTION_HPP
#define BORAGEHILL_WIRE_RPC_CONNECTION_HPP

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include <boragehill/time_point.hpp>

#include "wire/rpc_connection_owner.hpp"
#include "wire/rpc_frame.hpp"
#include "wire/rpc_server_settings.hpp"
#include "wire/rpc_traffic.hpp"

namespace boragehill::wire::detail {

/// The server's end of one connection: reads a frame, waits for its answer,
/// sends it, reads on. Runs on the socket thread but where said otherwise.
class rpc_connection final
    : public std::enable_shared_from_this<rpc_connection> {
 public:
  /// \param settings Must outlive the connection, like the other references.
  rpc_connection(asio::ip::tcp::socket socket,
                 const rpc_server_settings& settings,
                 rpc_connection_owner& owner, rpc_traffic& traffic);

  /// Starts reading.
  void start();

  /// Sends an answer and reads on; from any thread.
  void reply(std::string text);

  /// Reads on without an answer; from any thread.
  void skip();

  /// Logs why the peer's frame can't be taken and closes; from any thread.
  void reject(std::string reason);

  /// Closes as soon as no answer is owed.
  void finish();

 private:
  enum class phase { reading, answering, closed };

  void read_next();
  void on_header(const std::error_code& error, std::size_t size);
  void read_text(std::size_t left);
  void on_text(const std::error_code& error, std::size_t size,
               std::size_t left);
  void send(std::string_view text);
  void limit(milliseconds timeout, bool frame_begun);
  void reject_now(std::string_view reason);
  void close();

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  const rpc_server_settings& settings;
  rpc_connection_owner& owner;
  rpc_traffic& traffic;
  std::string peer;
  phase now = phase::reading;
  bool finishing = false;
  std::uint64_t timer_round = 0;
  std::array<char, rpc_header_length> header{};
  std::size_t header_size = 0;
  std::array<char, 4096> chunk{};
  std::string text;
  std::string answer;
};

}  // namespace boragehill::wire::detail

#endif  // BORAGEHILL_WIRE_RPC_CONNECTION_HPP
