#include "wire/link_listener.hpp"

#include <utility>

#include "kernel/listen.hpp"

namespace boragehill::wire {

link_listener::link_listener(asio::io_context& context, link_receiver receive)
    : context(context), acceptor(context), receive(std::move(receive)) {}

std::error_code link_listener::start(const endpoint& address) {
  if (const auto error = kernel::listen(this->acceptor, address)) return error;
  this->accept();
  return {};
}

void link_listener::accept() {
  this->acceptor.async_accept(
      [this](std::error_code failed, asio::ip::tcp::socket socket) {
        if (failed == asio::error::operation_aborted) return;
        if (!failed) {
          auto link = std::make_shared<message_link>(this->context);
          this->receive(link);
          link->accept(std::move(socket));
        }
        this->accept();
      });
}

}  // namespace boragehill::wire
