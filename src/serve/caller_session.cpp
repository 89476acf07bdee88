#include "serve/caller_session.hpp"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

#include "fleet/caller_limits.hpp"
#include "http/head_text.hpp"
#include "kernel/acknowledged_bytes.hpp"
#include "kernel/link_bytes.hpp"
#include "kernel/socket_options.hpp"
#include "kernel/timer_support.hpp"
#include "serve/caller_request.hpp"
#include "serve/exchange.hpp"
#include "serve/session_host.hpp"

namespace boragehill::serve {

namespace {

/// Bytes of further requests that are kept while one is served; more stay in
/// the socket.
constexpr std::size_t most_read_ahead = 65536;
/// A server is read on when its caller has left this part of what it may hold.
constexpr std::size_t resume_divisor = 4;
/// How long a closing connection still takes bytes, so that its last answer
/// isn't lost to a reset.
constexpr milliseconds linger_limit{1000};
/// The first request on a connection comes a round trip after it was opened; a
/// caller with much to do takes longer.
constexpr milliseconds first_request_limit{500};
/// A caller that sends more after its last response isn't waited for: it may
/// never end.
constexpr std::size_t max_dropped_bytes = 16U << 20U;

constexpr int bad_request_status = 400;
constexpr int timeout_status = 408;
constexpr int body_too_large_status = 413;
constexpr int head_too_large_status = 431;
constexpr int unavailable_status = 503;

}  // namespace

caller_session::caller_session(asio::ip::tcp::socket socket, session_host& host)
    : socket(std::move(socket)),
      timer(this->socket.get_executor()),
      host(host),
      parser(http::message_kind::request, host.limits().max_header_bytes) {}

void caller_session::start() {
  kernel::set_socket_options(this->socket);
  this->arm(this->host.limits().idle_timeout, "idle");
  this->read();
}

void caller_session::arm(milliseconds limit, const char* why) {
  this->timer.expires_after(limit);
  this->timer.async_wait(
      [self = this->shared_from_this(), why](std::error_code cancelled) {
        if (cancelled || self->closed) return;
        if (!kernel::is_outdated(self->timer)) self->on_timeout(why);
      });
}

void caller_session::on_timeout(const char* why) {
  if (this->lingering) {
    return this->is_taking() ? this->wait_for_close() : this->close();
  }
  if (!this->parser.begun()) return this->on_idle();
  this->reject(timeout_status, why);
}

void caller_session::on_idle() {
  // A request that came while the process was paused is there to be read.
  if (this->has_unread_bytes()) return;
  this->finish_sending();
}

void caller_session::read() {
  if (this->reading || this->closed) return;
  if (this->incoming.size() > most_read_ahead) return;
  this->reading = true;
  this->socket.async_read_some(asio::buffer(this->buffer),
                               [self = this->shared_from_this()](
                                   std::error_code failed, std::size_t size) {
                                 self->reading = false;
                                 if (self->closed) return;
                                 if (failed) return self->on_gone();
                                 self->on_bytes(size);
                                 self->read();
                               });
}

void caller_session::on_bytes(std::size_t size) {
  kernel::process_link_bytes.on_received(size);
  // What comes after the last answer is nobody's.
  if (this->lingering) return this->drop_bytes(size);
  this->incoming.append(this->buffer.data(), size);
  this->process();
}

void caller_session::drop_bytes(std::size_t size) {
  this->dropped_bytes += size;
  if (this->dropped_bytes > max_dropped_bytes) this->close();
}

void caller_session::process() {
  while (!this->current && !this->lingering && !this->incoming.empty()) {
    const bool was_begun = this->parser.begun();
    const bool had_head = this->parser.head_complete();
    const auto used = this->parser.feed(this->incoming);
    this->incoming.erase(0, used);
    if (!was_begun) this->arm(this->host.limits().header_timeout, "slow head");
    if (this->parser.failed()) {
      return this->reject(this->parser.head_too_large() ? head_too_large_status
                                                        : bad_request_status,
                          "not a request");
    }
    if (!this->parser.head_complete()) return;
    this->body += this->parser.take_body();
    if (!this->check_size() || !this->hold_body()) return;
    if (this->parser.complete()) return this->begin_request();
    if (!had_head &&
        this->parser.head().headers.has_token("Expect", "100-continue")) {
      this->queue("HTTP/1.1 100 Continue\r\n\r\n");
    }
    // The body may take its time as long as it moves.
    this->arm(this->host.limits().idle_timeout, "slow body");
  }
}

bool caller_session::check_size() {
  const auto most = this->host.limits().max_body_bytes;
  const auto length = this->parser.head().content_length.value_or(0);
  if (length <= most && this->body.size() <= most) return true;
  this->reject(body_too_large_status, "body too large");
  return false;
}

bool caller_session::hold_body() {
  if (this->body.size() <= this->held) return true;
  const auto more = this->body.size() - this->held;
  if (!this->host.take_body_memory(more)) {
    this->reject(unavailable_status, "no memory for the body");
    return false;
  }
  this->held += more;
  return true;
}

void caller_session::let_go_body() {
  this->host.give_body_memory(std::exchange(this->held, 0));
}

void caller_session::begin_request() {
  this->used = true;
  kernel::switch_off(this->timer);
  const auto& head = this->parser.head();
  this->head_request = head.method == "HEAD";
  this->http11 = head.http11;
  this->keep_alive = head.keep_alive;
  std::error_code ignored;
  const auto peer = this->socket.remote_endpoint(ignored);
  caller_request request{
      .head = head,
      .body = std::exchange(this->body, {}),
      .received = time_point::clock::now(),
      .caller = ignored ? std::string() : peer.address().to_string()};
  this->parser.next();
  // It may be answered, and so forgotten here, while it starts.
  const auto begun =
      this->host.begin(std::move(request), this->shared_from_this());
  this->current = begun;
  begun->start();
}

void caller_session::reject(int status, const char* why) {
  this->host.on_bad_input(status, why);
  this->keep_alive = false;
  this->head_request = false;
  this->answer(status, {}, std::string(why) + "\n");
}

void caller_session::answer(int status, http::header_list headers,
                            const std::string& text) {
  this->begin_answer(status, std::move(headers), text.size());
  this->send_body(text);
  this->end_answer();
}

void caller_session::begin_answer(int status, http::header_list headers,
                                  std::optional<std::uint64_t> length) {
  if (this->closed) return;
  this->chunked = !length && this->http11;
  this->unframed = !length && !this->http11;
  if (this->host.closing() || this->unframed) this->keep_alive = false;
  if (length) headers.add("Content-Length", std::to_string(*length));
  if (this->chunked) headers.add("Transfer-Encoding", "chunked");
  if (!this->keep_alive) headers.add("Connection", "close");
  this->queue(http::answer_head(status, headers));
}

void caller_session::send_body(const std::string& bytes) {
  if (this->closed || this->head_request || bytes.empty()) return;
  this->queue(this->chunked ? http::chunk(bytes) : bytes);
}

void caller_session::end_answer() {
  if (this->closed) return;
  if (this->chunked && !this->head_request) this->queue(http::chunk({}));
  this->last_attempt = this->answered_attempt();
  this->current.reset();
  this->let_go_body();
  if (!this->keep_alive) return this->finish_sending();
  this->next_request();
}

void caller_session::break_off() {
  this->current.reset();
  if (this->unframed) {
    // An orderly close would complete the answer.
    std::error_code ignored;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  this->close();
}

void caller_session::next_request() {
  this->arm(this->host.limits().idle_timeout, "idle");
  if (this->host.closing() && this->incoming.empty()) {
    return this->finish_sending();
  }
  this->process();
  this->read();
}

void caller_session::queue(const std::string& bytes) {
  if (this->counted == 0) this->last_taken = time_point::clock::now();
  this->outgoing += bytes;
  this->write();
  this->count_held();
}

void caller_session::count_held() {
  const auto held =
      this->closed ? 0 : this->outgoing.size() + this->in_flight.size();
  const auto before = std::exchange(this->counted, held);
  if (before != held) this->host.on_response_bytes(before, held);
}

bool caller_session::congested() const {
  return this->outgoing.size() > this->host.response_pause_limit();
}

decide::held_response caller_session::held_response() const {
  return {.bytes = this->counted, .last_taken = this->last_taken};
}

void caller_session::write() {
  if (this->writing || this->outgoing.empty() || this->closed) return;
  this->writing = true;
  this->in_flight = std::exchange(this->outgoing, {});
  kernel::process_link_bytes.on_sent(this->in_flight.size());
  asio::async_write(
      this->socket, asio::buffer(this->in_flight),
      [self = this->shared_from_this()](std::error_code failed, std::size_t) {
        self->writing = false;
        // An assignment would keep its memory.
        std::string().swap(self->in_flight);
        if (self->closed) return;
        if (failed) return self->on_gone();
        self->on_written();
      });
}

void caller_session::on_written() {
  this->last_taken = time_point::clock::now();
  this->count_held();
  const auto resume_at = this->host.response_pause_limit() / resume_divisor;
  if (this->outgoing.size() < resume_at && this->current) {
    this->current->on_caller_ready();
  }
  this->write();
  if (this->lingering) this->wait_for_close();
}

void caller_session::finish_sending() {
  this->lingering = true;
  this->wait_for_close();
}

void caller_session::wait_for_close() {
  if (this->writing) {
    this->taken = kernel::acknowledged_bytes(this->socket.native_handle());
    return this->arm(this->host.limits().idle_timeout, "unread response");
  }
  std::error_code ignored;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  this->arm(linger_limit, "linger");
}

bool caller_session::is_taking() {
  // The kernel takes nothing until a third of its buffer is free, and so tells
  // nothing of a slow caller for seconds.
  return this->writing &&
         kernel::acknowledged_bytes(this->socket.native_handle()) > this->taken;
}

const std::string& caller_session::answered_attempt() const {
  return this->current ? this->current->fields().attempt : this->last_attempt;
}

bool caller_session::has_left() {
  if (this->closed) return true;
  char next = 0;
  const auto size = ::recv(this->socket.native_handle(), &next, sizeof(next),
                           MSG_PEEK | MSG_DONTWAIT);
  if (size > 0) return false;
  const bool nothing_yet =
      size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return !nothing_yet;
}

void caller_session::close_when_idle() {
  if (this->current || this->closed || this->lingering) return;
  if (this->awaits_request()) return;
  this->finish_sending();
}

bool caller_session::awaits_request() {
  if (this->current || this->closed || this->lingering) return false;
  if (this->parser.begun() || !this->incoming.empty()) return true;
  const auto age = time_point::clock::now() - this->accepted;
  return (!this->used && age < first_request_limit) || this->has_unread_bytes();
}

bool caller_session::has_unread_bytes() {
  std::error_code ignored;
  return this->socket.available(ignored) > 0;
}

void caller_session::stop_reading_request() {
  if (this->current || this->closed || this->lingering) return;
  if (!this->parser.begun()) return;
  this->reject(unavailable_status, "the router stops");
}

void caller_session::on_gone() {
  auto served = std::exchange(this->current, nullptr);
  this->close();
  if (served) served->on_caller_gone();
}

void caller_session::close() {
  if (this->closed) return;
  this->closed = true;
  this->let_go_body();
  this->count_held();
  this->timer.cancel();
  std::error_code ignored;
  this->socket.close(ignored);
  this->host.on_closed(this);
}

}  // namespace boragehill::serve
