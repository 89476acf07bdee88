#include "serve/server_connection.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

#include "kernel/link_bytes.hpp"
#include "kernel/socket_options.hpp"

namespace boragehill::serve {

namespace {

/// A connection within a region takes some milliseconds; a server without
/// power answers nothing at all.
constexpr milliseconds connect_limit{400};
/// The heads of answers are a few lines.
constexpr std::size_t max_head_bytes = 65536;
/// Interim responses, and those to earlier requests, before the one that
/// counts.
constexpr std::size_t max_skipped_bytes = 1U << 20U;
/// Where the server names no time: some close silent connections early.
constexpr milliseconds assumed_keep{4000};
/// Used this much before the server would close it: a close that crosses a
/// request leaves open whether it ran.
constexpr milliseconds keep_margin{700};
constexpr int switching_protocols_status = 101;
constexpr int first_final_status = 200;

milliseconds told_keep(const http::header_list& headers) {
  const auto* found = headers.find("Keep-Alive");
  if (!found) return assumed_keep;
  for (const auto part : absl::StrSplit(*found, ',')) {
    const std::pair<std::string, std::string> item =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    int seconds = 0;
    const bool is_timeout = item.first.find("timeout") != std::string::npos;
    if (is_timeout && absl::SimpleAtoi(item.second, &seconds)) {
      return milliseconds(std::chrono::seconds(seconds));
    }
  }
  return assumed_keep;
}

}  // namespace

server_connection::server_connection(asio::io_context& context, endpoint server,
                                     idle_receiver on_idle,
                                     closed_receiver on_closed)
    : socket(context),
      connect_timer(context),
      server(std::move(server)),
      on_idle(std::move(on_idle)),
      on_closed(std::move(on_closed)),
      parser(http::message_kind::answer, max_head_bytes) {}

void server_connection::send(std::string text, bool no_body,
                             std::weak_ptr<server_answer> answer) {
  ++this->requests;
  this->request = std::move(text);
  this->receiver = std::move(answer);
  this->bodiless = no_body;
  this->busy = true;
  this->written = false;
  this->head_told = false;
  this->skipping = false;
  this->skipped_bytes = 0;
  this->parser.next();
  if (no_body) this->parser.expect_no_body();
  if (this->connected) {
    this->write();
  } else {
    this->connect();
  }
}

void server_connection::connect() {
  std::error_code error;
  const auto address = asio::ip::make_address(this->server.address, error);
  auto self = this->shared_from_this();
  this->connect_timer.expires_after(connect_limit);
  this->connect_timer.async_wait([self](std::error_code cancelled) {
    if (cancelled || self->connected || self->ended) return;
    std::error_code ignored;
    self->socket.close(ignored);
  });
  this->socket.async_connect({address, this->server.port},
                             [self](std::error_code failed) {
                               self->connect_timer.cancel();
                               if (self->ended) return;
                               if (failed) {
                                 const auto told = self->receiver.lock();
                                 self->close();
                                 if (told) told->on_unsent();
                                 return;
                               }
                               self->connected = true;
                               kernel::set_socket_options(self->socket);
                               self->write();
                               self->read();
                             });
}

void server_connection::write() {
  kernel::process_link_bytes.on_sent(this->request.size());
  asio::async_write(
      this->socket, asio::buffer(this->request),
      [self = this->shared_from_this()](std::error_code failed, std::size_t) {
        // The reading end tells what becomes of it: an early answer may come.
        self->written = !failed;
      });
}

void server_connection::read() {
  if (this->reading || this->paused || this->ended) return;
  this->reading = true;
  this->socket.async_read_some(
      asio::buffer(this->buffer),
      [self = this->shared_from_this()](std::error_code failed,
                                        std::size_t size) {
        self->reading = false;
        if (self->ended) return;
        if (failed) {
          return self->on_end_of_stream(failed == asio::error::eof);
        }
        self->on_bytes({self->buffer.data(), size});
        self->read();
      });
}

void server_connection::on_bytes(std::string_view bytes) {
  kernel::process_link_bytes.on_received(bytes.size());
  // Bytes that nobody asked for belong to no request.
  if (!this->busy) return this->close();
  while (!bytes.empty() && this->busy && !this->ended) {
    const auto used = this->parser.feed(bytes);
    bytes.remove_prefix(used);
    if (this->parser.failed()) return this->broken();
    if (!this->parser.head_complete()) return;
    const int status = this->parser.head().status;
    // No request asks for another protocol.
    if (status == switching_protocols_status) return this->broken();
    // Interim answers (100, 103) come before the one that counts.
    const bool interim = status < first_final_status;
    if (!this->head_told && !interim) {
      this->head_told = true;
      const auto told = this->receiver.lock();
      if (!told) return this->abort();
      this->skipping = !told->on_head(this->parser.head());
      if (this->ended) return;
    }
    this->take_body();
    if (this->ended) return;
    if (interim || this->skipping) {
      this->skipped_bytes += used;
      if (this->skipped_bytes > max_skipped_bytes) return this->broken();
    }
    if (!this->parser.complete()) continue;
    if (interim || this->skipping) {
      // An answer of an earlier request: ours comes after it, and the
      // connection is not used again.
      this->reusable = this->reusable && interim;
      this->skipping = false;
      this->head_told = false;
      this->parser.next();
      if (this->bodiless) this->parser.expect_no_body();
      continue;
    }
    // Bytes after a complete answer belong to no request either.
    if (!bytes.empty()) this->reusable = false;
    this->on_complete();
  }
}

void server_connection::take_body() {
  const auto body = this->parser.take_body();
  if (body.empty() || this->skipping) return;
  if (const auto told = this->receiver.lock()) told->on_body(body);
}

void server_connection::on_complete() {
  const auto& head = this->parser.head();
  // Part of the request is still on its way: the server answered early, and
  // what follows on this connection would be taken for the rest of the body.
  const bool keep =
      this->reusable && head.keep_alive && this->written && !this->ended;
  const auto told = this->receiver.lock();
  this->busy = false;
  this->receiver.reset();
  this->last_used = time_point::clock::now();
  this->kept = this->last_used + told_keep(head.headers) - keep_margin;
  if (keep) {
    this->paused = false;
    this->on_idle(this->shared_from_this());
  } else {
    this->close();
  }
  if (told) told->on_end();
}

void server_connection::on_end_of_stream(bool in_order) {
  if (!this->busy) return this->close();
  // A reset is told once. If the write has got it, the read ends in order.
  const bool whole = in_order && this->written && !this->skipping;
  if (whole && this->parser.finish()) {
    this->reusable = false;
    this->take_body();
    return this->on_complete();
  }
  this->broken();
}

void server_connection::broken() {
  const auto told = this->receiver.lock();
  this->close();
  if (told) told->on_broken();
}

void server_connection::pause() {
  this->paused = true;
}

void server_connection::resume() {
  this->paused = false;
  if (this->connected) this->read();
}

void server_connection::abort() {
  this->receiver.reset();
  this->close();
}

void server_connection::abort_unread() {
  std::error_code ignored;
  this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  this->abort();
}

void server_connection::close() {
  if (this->ended) return;
  this->ended = true;
  this->connect_timer.cancel();
  std::error_code ignored;
  this->socket.close(ignored);
  if (auto told = std::exchange(this->on_closed, nullptr)) told();
}

}  // namespace boragehill::serve
