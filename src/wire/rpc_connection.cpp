#include "wire/rpc_connection.hpp"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <utility>

#include "kernel/event_log.hpp"

namespace boragehill::wire::detail {

namespace {

std::string name_of_peer(const asio::ip::tcp::socket& socket) {
  std::error_code error;
  const auto remote = socket.remote_endpoint(error);
  if (error) return "unknown";
  return remote.address().to_string() + ':' + std::to_string(remote.port());
}

}  // namespace

rpc_connection::rpc_connection(asio::ip::tcp::socket socket,
                               const rpc_server_settings& settings,
                               rpc_connection_owner& owner,
                               rpc_traffic& traffic)
    : socket(std::move(socket)),
      timer(this->socket.get_executor()),
      settings(settings),
      owner(owner),
      traffic(traffic),
      peer(name_of_peer(this->socket)) {}

void rpc_connection::start() {
  std::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->read_next();
}

void rpc_connection::reply(std::string text) {
  asio::post(this->socket.get_executor(),
             [self = this->shared_from_this(), text = std::move(text)] {
               self->send(text);
             });
}

void rpc_connection::skip() {
  asio::post(this->socket.get_executor(),
             [self = this->shared_from_this()] { self->read_next(); });
}

void rpc_connection::reject(std::string reason) {
  asio::post(this->socket.get_executor(),
             [self = this->shared_from_this(), reason = std::move(reason)] {
               self->reject_now(reason);
             });
}

void rpc_connection::finish() {
  this->finishing = true;
  if (this->now == phase::reading) this->close();
}

void rpc_connection::read_next() {
  if (this->now == phase::closed) return;
  if (this->finishing) {
    this->close();
    return;
  }
  this->now = phase::reading;
  this->header_size = 0;
  this->text.clear();
  this->limit(this->settings.idle_timeout, false);
  this->socket.async_read_some(
      asio::buffer(this->header),
      [self = this->shared_from_this()](const std::error_code& error,
                                        std::size_t size) {
        self->on_header(error, size);
      });
}

void rpc_connection::on_header(const std::error_code& error, std::size_t size) {
  if (this->now == phase::closed) return;
  if (error) {
    this->close();
    return;
  }
  this->traffic.in += size;
  if (this->header_size == 0) this->limit(this->settings.frame_timeout, true);
  this->header_size += size;
  if (this->header_size < this->header.size()) {
    this->socket.async_read_some(
        asio::buffer(this->header) + this->header_size,
        [self = this->shared_from_this()](const std::error_code& error,
                                          std::size_t size) {
          self->on_header(error, size);
        });
    return;
  }
  const std::size_t length = read_big_endian<std::uint32_t>(
      {this->header.data(), this->header.size()});
  if (length == 0) return this->reject_now("empty frame");
  if (length > this->settings.max_frame) {
    return this->reject_now("frame too large");
  }
  this->read_text(length);
}

// The text grows with the bytes that came, not by the announced length: a
// thousand peers that announce a full frame and send nothing would otherwise
// make the process hold a gigabyte.
void rpc_connection::read_text(std::size_t left) {
  const std::size_t wanted = std::min(left, this->chunk.size());
  this->socket.async_read_some(
      asio::buffer(this->chunk.data(), wanted),
      [self = this->shared_from_this(), left](const std::error_code& error,
                                              std::size_t size) {
        self->on_text(error, size, left);
      });
}

void rpc_connection::on_text(const std::error_code& error, std::size_t size,
                             std::size_t left) {
  if (this->now == phase::closed) return;
  if (error) {
    this->close();
    return;
  }
  this->traffic.in += size;
  this->text.append(this->chunk.data(), size);
  if (size < left) {
    this->read_text(left - size);
    return;
  }
  ++this->timer_round;
  this->timer.cancel();
  this->now = phase::answering;
  this->owner.on_frame(this->shared_from_this(), std::move(this->text));
}

void rpc_connection::send(std::string_view text) {
  if (this->now == phase::closed) return;
  this->answer = rpc_frame(text);
  this->limit(this->settings.frame_timeout, true);
  asio::async_write(this->socket, asio::buffer(this->answer),
                    [self = this->shared_from_this()](
                        const std::error_code& error, std::size_t size) {
                      self->traffic.out += size;
                      if (error) return self->close();
                      self->read_next();
                    });
}

// A peer that stops in the middle of a frame would hold its connection, one
// of a bounded number, for good. It shows as a frame that doesn't end; the
// timer starts with the frame's first byte and isn't moved by later ones, so
// a peer that trickles bytes ends as well.
void rpc_connection::limit(milliseconds timeout, bool frame_begun) {
  const std::uint64_t round = ++this->timer_round;
  this->timer.expires_after(timeout);
  this->timer.async_wait([self = this->shared_from_this(), round,
                          frame_begun](const std::error_code& error) {
    // A timer that fired just before it was moved still calls back; its round
    // has passed then.
    if (error || self->timer_round != round) return;
    if (frame_begun) return self->reject_now("frame timed out");
    self->close();
  });
}

void rpc_connection::reject_now(std::string_view reason) {
  if (this->now == phase::closed) return;
  kernel::log_event(kernel::event::frame_rejected,
                    {{"peer", this->peer}, {"reason", reason}});
  this->close();
}

void rpc_connection::close() {
  if (this->now == phase::closed) return;
  this->now = phase::closed;
  ++this->timer_round;
  this->timer.cancel();
  std::error_code ignored;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  this->socket.close(ignored);
  this->owner.on_closed(this->shared_from_this());
}

}  // namespace boragehill::wire::detail
