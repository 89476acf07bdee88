#include "fleet-test/single_call.hpp"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace boragehill::fleet_test {

single_call::single_call(asio::io_context& context, std::string text,
                         std::function<void(call_outcome)> on_ended)
    : socket(context),
      timer(context),
      text(std::move(text)),
      on_ended(std::move(on_ended)) {}

void single_call::start(const endpoint& router) {
  auto self = this->shared_from_this();
  this->timer.expires_after(patience);
  this->timer.async_wait([self](std::error_code cancelled) {
    if (!cancelled) self->end(call_outcome::lost);
  });
  this->socket.async_connect(
      {asio::ip::make_address(router.address), router.port},
      [self](std::error_code failed) {
        if (failed) return self->end(call_outcome::unread);
        self->write();
        self->read();
      });
}

void single_call::write() {
  asio::async_write(
      this->socket, asio::buffer(this->text),
      [self = this->shared_from_this()](std::error_code, std::size_t) {
        // A failure shows at the reading end.
      });
}

void single_call::read() {
  this->socket.async_read_some(
      asio::buffer(this->buffer),
      [self = this->shared_from_this()](std::error_code failed,
                                        std::size_t size) {
        self->response.append(self->buffer.data(), size);
        failed ? self->on_end_of_stream() : self->read();
      });
}

void single_call::on_end_of_stream() {
  if (this->response.empty()) return this->end(call_outcome::unread);
  const auto body = this->response.find("\r\n\r\n");
  const auto length = this->response.find("Content-Length: ");
  const bool is_complete = this->response.starts_with("HTTP/1.1 200 ") &&
                           body != std::string::npos && length < body &&
                           this->response.size() - body - 4 ==
                               std::stoul(this->response.substr(length + 16));
  this->end(is_complete ? call_outcome::served : call_outcome::lost);
}

void single_call::end(call_outcome outcome) {
  auto told = std::exchange(this->on_ended, nullptr);
  if (!told) return;
  this->timer.cancel();
  std::error_code ignored;
  this->socket.close(ignored);
  told(outcome);
}

}  // namespace boragehill::fleet_test
