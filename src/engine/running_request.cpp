#include "engine/running_request.hpp"

#include <algorithm>
#include <string>
#include <string_view>
#include <sys/socket.h>

#include <boragehill/answer_sink.hpp>
#include <boragehill/backend_request.hpp>
#include <boragehill/endpoint.hpp>
#include <boragehill/result_code.hpp>

namespace boragehill::engine::detail {

namespace {

constexpr milliseconds connect_timeout{2000};
constexpr milliseconds write_timeout{5000};
/// What an answer may come later than the deadline.
constexpr milliseconds read_grace{1000};
constexpr int no_content = 204;
constexpr int not_modified = 304;

bool never_connected(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

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

httplib::Request request_of(const backend_request& request) {
  httplib::Request sent;
  sent.method = request.method;
  sent.path = request.target;
  sent.body = request.body;
  sent.set_header("Accept-Encoding", "identity");
  sent.set_header("X-Request-Attempt", request.attempt);
  sent.set_header("X-Time-Left-Ms", std::to_string(request.time_left.count()));
  if (!request.content_type.empty()) {
    sent.set_header("Content-Type", request.content_type);
  }
  if (!request.traceparent.empty()) {
    sent.set_header("traceparent", request.traceparent);
  }
  if (!request.idempotency_key.empty()) {
    sent.set_header("Idempotency-Key", request.idempotency_key);
  }
  if (request.priority != 0) {
    sent.set_header("X-Priority", std::to_string(request.priority));
  }
  return sent;
}

bool is_chunked(const httplib::Response& response) {
  return response.get_header_value("Transfer-Encoding") == "chunked";
}

/// Tells whether the far end has closed a connection, without waiting.
bool is_closed(int socket) {
  char byte = 0;
  return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

}  // namespace

running_request::running_request(const endpoint& address)
    : client(address.address, address.port) {
  // The connection is this request's alone and goes with this object. It is
  // asked to stay open only so that `judge` can tell a cut from an end.
  this->client.set_keep_alive(true);
  this->client.set_follow_location(false);
  this->client.set_url_encode(false);
  this->client.set_tcp_nodelay(true);
  this->client.set_connection_timeout(connect_timeout);
  this->client.set_write_timeout(write_timeout);
}

result<void> running_request::run(const backend_request& request,
                                  answer_sink& sink) {
  if (!is_sound(request)) return result_code::malformed_request;
  this->client.set_read_timeout(std::max(request.time_left, milliseconds{0}) +
                                read_grace);
  httplib::Request sent = request_of(request);
  sent.response_handler = [&](const httplib::Response& head) {
    if (this->is_stopped) return false;
    const bool wanted =
        sink.head(head.status, head.get_header_value("Content-Type"));
    if (!wanted) this->is_stopped = true;
    return wanted;
  };
  sent.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                              std::uint64_t) {
    if (this->is_stopped) return false;
    const bool wanted = sink.piece(std::string_view(data, size));
    if (!wanted) this->is_stopped = true;
    return wanted;
  };
  if (this->is_stopped) return result_code::caller_gone;
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool received = this->client.send(sent, response, error);
  return this->judge(received, response, error);
}

result<void> running_request::judge(bool received,
                                    const httplib::Response& response,
                                    httplib::Error error) const {
  if (!received && this->is_stopped) return result_code::caller_gone;
  if (!received && never_connected(error)) return result_code::engine_down;
  if (!received) return result_code::engine_crashed;
  if (response.status == no_content || response.status == not_modified) {
    return success();
  }
  if (response.has_header("Content-Length")) return success();
  // Without a length or chunks a crash looks like the body's end, and half an
  // answer would reach the caller as a whole one.
  if (!is_chunked(response)) return result_code::engine_crashed;
  // The library takes a body for whole that is cut between the two last bytes
  // of a chunk. A cut has closed the connection; after a true end it stays
  // open, unless the backend server said that it would close it.
  const bool may_close = response.get_header_value("Connection") == "close";
  if (!may_close && is_closed(this->client.socket())) {
    return result_code::engine_crashed;
  }
  return success();
}

void running_request::stop() {
  this->is_stopped = true;
  this->client.stop();
}

}  // namespace boragehill::engine::detail
