#include "engine/running_request.hpp"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include <boragehill/answer_sink.hpp>
#include <boragehill/backend_request.hpp>
#include <boragehill/result_code.hpp>

#include "http/head_text.hpp"
#include "http/header_list.hpp"
#include "kernel/socket_options.hpp"

namespace boragehill::engine::detail {

namespace {

constexpr milliseconds connect_timeout{2000};
constexpr milliseconds write_timeout{5000};
/// What an answer may come later than the deadline.
constexpr milliseconds read_grace{1000};
/// The heads of engines are a few lines; a longer one is garbage.
constexpr std::size_t max_head_bytes = 65536;
constexpr std::size_t read_bytes = 16384;
constexpr int first_final_status = 200;

bool is_control(char letter) {
  const auto byte = static_cast<unsigned char>(letter);
  return byte < ' ' || byte == 0x7F;
}

/// Tells whether a text can stand in a request's first line.
bool is_token(std::string_view text) {
  if (text.empty()) return false;
  return std::none_of(text.begin(), text.end(), [](char letter) {
    return is_control(letter) || letter == ' ';
  });
}

bool is_header_value(std::string_view text) {
  return std::none_of(text.begin(), text.end(), is_control);
}

/// Tells whether the request stays one request on the wire. A line break in
/// the target or a header would start a second one, which would run uncounted.
bool is_sound(const backend_request& request) {
  return is_token(request.method) && is_token(request.target) &&
         request.target.front() == '/' && is_header_value(request.attempt) &&
         is_header_value(request.content_type) &&
         is_header_value(request.traceparent) &&
         is_header_value(request.idempotency_key);
}

std::string text_of(const backend_request& request, const endpoint& address) {
  http::header_list headers;
  headers.add("Host", address.to_string());
  headers.add("Accept-Encoding", "identity");
  headers.add("X-Request-Attempt", request.attempt);
  headers.add("X-Time-Left-Ms", std::to_string(request.time_left.count()));
  headers.add("Content-Length", std::to_string(request.body.size()));
  if (!request.content_type.empty()) {
    headers.add("Content-Type", request.content_type);
  }
  if (!request.traceparent.empty()) {
    headers.add("traceparent", request.traceparent);
  }
  if (!request.idempotency_key.empty()) {
    headers.add("Idempotency-Key", request.idempotency_key);
  }
  if (request.priority != 0) {
    headers.add("X-Priority", std::to_string(request.priority));
  }
  return http::request_head(request.method, request.target, headers) +
         request.body;
}

std::string content_type_of(const http::message_head& head) {
  const std::string* type = head.headers.find("Content-Type");
  return type == nullptr ? std::string() : *type;
}

}  // namespace

running_request::running_request(endpoint address)
    : address(std::move(address)),
      socket(this->context),
      parser(http::message_kind::answer, max_head_bytes) {}

result<void> running_request::run(const backend_request& request,
                                  answer_sink& sink) {
  if (!is_sound(request)) return result_code::malformed_request;
  if (this->is_stopped) return result_code::caller_gone;
  if (request.method == "HEAD") this->parser.expect_no_body();
  if (this->connect()) {
    if (this->is_stopped) return result_code::caller_gone;
    return result_code::engine_down;
  }
  // Some bytes may be out, and with them the request.
  if (this->write(text_of(request, this->address))) return this->broken_off();
  const milliseconds left = std::max(request.time_left, milliseconds{0});
  return this->read_answer(sink, left + read_grace);
}

std::error_code running_request::connect() {
  std::error_code error;
  const auto host = asio::ip::make_address(this->address.address, error);
  if (error) return error;
  const asio::ip::tcp::endpoint peer(host, this->address.port);
  error = this->wait_for(connect_timeout, [&](const step& done) {
    this->socket.async_connect(
        peer, [done](std::error_code failed) { done(failed, 0); });
  });
  if (!error) kernel::set_socket_options(this->socket);
  return error;
}

std::error_code running_request::write(const std::string& text) {
  return this->wait_for(write_timeout, [&](step done) {
    asio::async_write(this->socket, asio::buffer(text), std::move(done));
  });
}

result<void> running_request::read_answer(answer_sink& sink,
                                          milliseconds silence) {
  std::array<char, read_bytes> buffer{};
  while (true) {
    const auto error = this->wait_for(silence, [&](step done) {
      this->socket.async_read_some(asio::buffer(buffer), std::move(done));
    });
    // An answer without a length or chunks has no end that a crash couldn't
    // make: half of it would reach the caller as a whole one.
    if (error) return this->broken_off();
    std::string_view bytes(buffer.data(), this->received);
    while (!bytes.empty()) {
      bytes.remove_prefix(this->parser.feed(bytes));
      if (this->parser.failed()) return this->broken_off();
      if (!this->hand_over(sink)) return result_code::caller_gone;
      if (!this->parser.complete()) continue;
      if (this->head_passed_on) return success();
      this->parser.next();
    }
  }
}

bool running_request::hand_over(answer_sink& sink) {
  if (this->is_stopped) return false;
  if (!this->parser.head_complete()) return true;
  const http::message_head& head = this->parser.head();
  if (head.status < first_final_status) return true;
  if (!this->head_passed_on) {
    this->head_passed_on = true;
    if (!sink.head(head.status, content_type_of(head))) return false;
  }
  const std::string piece = this->parser.take_body();
  return piece.empty() || sink.piece(piece);
}

result<void> running_request::broken_off() const {
  if (this->is_stopped) return result_code::caller_gone;
  return result_code::engine_crashed;
}

std::error_code running_request::wait_for(
    milliseconds limit, const std::function<void(step)>& start) {
  std::optional<std::error_code> ended;
  start([this, &ended](std::error_code error, std::size_t size) {
    ended = error;
    this->received = size;
  });
  const time_point until = time_point::clock::now() + limit;
  this->context.restart();
  while (!ended && !this->is_stopped && time_point::clock::now() < until) {
    this->context.run_one_until(until);
  }
  if (ended && !this->is_stopped) return *ended;
  // The operation refers to this call's variables, so it ends before they do.
  std::error_code ignored;
  this->socket.close(ignored);
  this->context.restart();
  while (!ended) this->context.run_one();
  return std::make_error_code(std::errc::timed_out);
}

void running_request::stop() {
  this->is_stopped = true;
  // Wakes the thread that waits for the connection.
  asio::post(this->context, [] {});
}

}  // namespace boragehill::engine::detail
