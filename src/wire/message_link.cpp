#include "wire/message_link.hpp"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

#include "kernel/json_text.hpp"
#include "kernel/socket_options.hpp"
#include "kernel/timer_support.hpp"

namespace boragehill::wire {

message_link::message_link(asio::io_context& context)
    : socket(context), heartbeat(context), silence(context) {}

void message_link::on_events(message_receiver receive, end_receiver on_end) {
  this->receive = std::move(receive);
  this->on_end = std::move(on_end);
}

void message_link::connect(const endpoint& peer) {
  std::error_code error;
  const auto address = asio::ip::make_address(peer.address, error);
  if (error) return this->end();
  this->silence.expires_after(connect_limit);
  this->silence.async_wait(
      [self = this->shared_from_this()](std::error_code cancelled) {
        if (!cancelled && !self->connected) self->end();
      });
  this->socket.async_connect(
      {address, peer.port},
      [self = this->shared_from_this()](std::error_code failed) {
        if (self->ended) return;
        if (failed) return self->end();
        self->begin();
      });
}

void message_link::accept(asio::ip::tcp::socket accepted) {
  this->socket = std::move(accepted);
  this->begin();
}

void message_link::begin() {
  this->connected = true;
  kernel::set_socket_options(this->socket);
  this->watch_silence();
  this->beat();
  this->read();
  this->write();
}

void message_link::send(const Json::Value& message) {
  if (this->ended) return;
  this->outgoing += kernel::write_json(message);
  this->outgoing += '\n';
  if (this->outgoing.size() > max_queued_bytes) return this->end();
  this->write();
}

void message_link::write() {
  if (!this->connected || this->writing || this->outgoing.empty()) return;
  this->writing = true;
  this->in_flight = std::exchange(this->outgoing, {});
  this->last_sent = time_point::clock::now();
  asio::async_write(
      this->socket, asio::buffer(this->in_flight),
      [self = this->shared_from_this()](std::error_code failed, std::size_t) {
        self->writing = false;
        if (self->ended) return;
        if (failed) return self->end();
        self->write();
      });
}

void message_link::read() {
  this->socket.async_read_some(asio::buffer(this->buffer),
                               [self = this->shared_from_this()](
                                   std::error_code failed, std::size_t size) {
                                 if (self->ended) return;
                                 if (failed) return self->end();
                                 self->incoming.append(self->buffer.data(),
                                                       size);
                                 self->watch_silence();
                                 self->take_lines();
                                 if (!self->ended) self->read();
                               });
}

void message_link::take_lines() {
  std::size_t begin = 0;
  while (!this->ended) {
    const auto line_end = this->incoming.find('\n', begin);
    if (line_end == std::string::npos) break;
    const auto message = kernel::parse_json(
        std::string_view(this->incoming).substr(begin, line_end - begin));
    begin = line_end + 1;
    if (!message || !message->isObject()) return this->end();
    if (message->empty()) continue;
    try {
      this->receive(*message);
    } catch (const Json::Exception&) {
      // A peer of another build may send a field of another type.
      return this->end();
    }
  }
  this->incoming.erase(0, begin);
  if (this->incoming.size() > max_line_bytes) this->end();
}

void message_link::beat() {
  this->heartbeat.expires_after(heartbeat_interval);
  this->heartbeat.async_wait(
      [self = this->shared_from_this()](std::error_code cancelled) {
        if (cancelled || self->ended) return;
        const auto idle = time_point::clock::now() - self->last_sent;
        if (idle >= heartbeat_interval) self->send(Json::objectValue);
        self->beat();
      });
}

void message_link::watch_silence() {
  this->silence.expires_after(silence_limit);
  this->silence.async_wait(
      [self = this->shared_from_this()](std::error_code cancelled) {
        if (!cancelled && !kernel::is_outdated(self->silence)) self->end();
      });
}

void message_link::end() {
  if (this->ended) return;
  this->close();
  if (auto told = std::exchange(this->on_end, nullptr)) told();
}

void message_link::close() {
  this->ended = true;
  this->heartbeat.cancel();
  this->silence.cancel();
  std::error_code ignored;
  this->socket.close(ignored);
}

}  // namespace boragehill::wire
