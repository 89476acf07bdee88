#include "http/call_connection.hpp"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

#include <boragehill/result_code.hpp>

#include "kernel/socket_options.hpp"
#include "kernel/timer_support.hpp"

namespace boragehill::http {

namespace {

/// The store's answers are at most a megabyte, their heads a few lines.
constexpr std::size_t max_head_bytes = 16384;
/// Above what the store's answers take with their values encoded.
constexpr std::size_t max_body_bytes = 4U << 20U;
constexpr int first_final_status = 200;

}  // namespace

call_connection::call_connection(asio::io_context& context, endpoint peer)
    : context(context),
      peer(std::move(peer)),
      socket(context),
      timer(context),
      parser(message_kind::answer, max_head_bytes) {}

void call_connection::call(std::string text, const call_limits& limits,
                           receiver receive) {
  this->limits = limits;
  this->called = time_point::clock::now();
  this->why_failed = call_failure::none;
  this->request = std::move(text);
  this->receive = std::move(receive);
  this->body.clear();
  this->received_bytes = 0;
  this->parser.next();
  this->sent = false;
  this->wait_for_deadline();
  if (this->connected) {
    this->write();
  } else {
    this->connect();
  }
}

void call_connection::wait_for_deadline() {
  this->timer.expires_at(this->deadline());
  this->timer.async_wait(
      [self = this->shared_from_this()](std::error_code error) {
        if (error || kernel::is_outdated(self->timer)) return;
        if (self->receive) self->on_deadline();
      });
}

void call_connection::on_deadline() {
  const auto now = time_point::clock::now();
  if (now < this->deadline()) return this->wait_for_deadline();
  if (!this->sent) return this->fail(call_failure::not_sent);
  if (this->received_bytes == 0) return this->fail(call_failure::no_response);
  const bool slow = now >= this->called + this->limits.total;
  this->fail(slow ? call_failure::too_slow : call_failure::stalled);
}

time_point call_connection::deadline() const {
  if (this->received_bytes == 0) return this->called + this->limits.response;
  return std::min(this->last_byte + this->limits.stall,
                  this->called + this->limits.total);
}

void call_connection::connect() {
  std::error_code error;
  const auto address = asio::ip::make_address(this->peer.address, error);
  if (error) return this->fail(call_failure::not_sent);
  const auto mine = ++this->generation;
  this->socket = asio::ip::tcp::socket(this->context);
  this->socket.async_connect(
      {address, this->peer.port},
      [self = this->shared_from_this(), mine](std::error_code failed) {
        if (mine != self->generation) return;
        if (failed) {
          const bool refused = failed == asio::error::connection_refused;
          return self->fail(refused ? call_failure::refused
                                    : call_failure::unconnected);
        }
        self->connected = true;
        kernel::set_socket_options(self->socket);
        self->write();
      });
}

void call_connection::write() {
  const auto mine = this->generation;
  this->sent = true;
  asio::async_write(this->socket, asio::buffer(this->request),
                    [self = this->shared_from_this(), mine](
                        std::error_code failed, std::size_t) {
                      if (mine != self->generation || !self->receive) return;
                      if (failed) return self->fail(call_failure::cut_off);
                      self->read();
                    });
}

void call_connection::read() {
  const auto mine = this->generation;
  this->socket.async_read_some(asio::buffer(this->buffer),
                               [self = this->shared_from_this(), mine](
                                   std::error_code failed, std::size_t size) {
                                 if (mine != self->generation || !self->receive)
                                   return;
                                 if (failed) {
                                   return self->on_read_failed(failed);
                                 }
                                 self->on_read(size);
                               });
}

void call_connection::on_read(std::size_t size) {
  const bool first = this->received_bytes == 0;
  this->last_byte = time_point::clock::now();
  this->received_bytes += size;
  if (first) {
    this->first_byte = this->last_byte;
    this->wait_for_deadline();
  }
  const std::size_t used = this->parser.feed({this->buffer.data(), size});
  if (this->progress) this->progress(size);
  if (this->parser.failed()) return this->fail(call_failure::malformed);
  this->body += this->parser.take_body();
  if (this->body.size() > max_body_bytes) {
    return this->fail(call_failure::malformed);
  }
  if (!this->parser.complete()) return this->read();
  // No call asks for interim responses, and none of them is its answer.
  if (this->parser.head().status < first_final_status) {
    return this->fail(call_failure::malformed);
  }
  const bool too_long = used < size;
  if (too_long) this->why_failed = call_failure::too_long;
  if (too_long || !this->parser.head().keep_alive) this->drop_socket();
  this->complete();
}

void call_connection::on_read_failed(std::error_code error) {
  const bool in_order = error == asio::error::eof;
  if (!in_order || !this->parser.finish()) {
    return this->fail(call_failure::cut_off);
  }
  this->drop_socket();
  this->complete();
}

void call_connection::complete() {
  this->finish(whole_answer{this->parser.head(), std::move(this->body)});
}

void call_connection::fail(call_failure why) {
  this->why_failed = why;
  const bool may_be_done = this->sent;
  this->drop_socket();
  this->finish(may_be_done ? result_code::platform_answer_lost
                           : result_code::peer_unreachable);
}

void call_connection::close() {
  if (this->receive) return this->fail(call_failure::cut_off);
  this->drop_socket();
}

void call_connection::finish(result<whole_answer> answer) {
  kernel::switch_off(this->timer);
  if (!this->receive) return;
  std::exchange(this->receive, nullptr)(std::move(answer));
}

void call_connection::drop_socket() {
  ++this->generation;
  this->connected = false;
  std::error_code ignored;
  this->socket.close(ignored);
}

}  // namespace boragehill::http
