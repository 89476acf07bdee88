#include "soak/fault_proxy.hpp"

#include <fcntl.h>
#include <future>
#include <utility>
#include <vector>

#include "kernel/listen.hpp"
#include "soak/proxied_link.hpp"

namespace boragehill::soak {

namespace {

constexpr std::size_t task_capacity = 64;

}  // namespace

fault_proxy::fault_proxy(const endpoint& listen, const endpoint& target)
    : listen(listen),
      target(target),
      loop("proxy", task_capacity),
      acceptor(this->loop.context()) {}

fault_proxy::~fault_proxy() {
  this->loop.stop();
}

bool fault_proxy::start() {
  if (kernel::listen(this->acceptor, this->listen)) return false;
  // A process of the fleet would keep the port open.
  ::fcntl(this->acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
  this->accept();
  this->loop.start();
  return true;
}

void fault_proxy::set(link_fault fault) {
  this->loop.post([this, fault] { this->apply(fault); });
}

void fault_proxy::stop_accepting() {
  std::promise<void> done;
  this->loop.post([this, &done] {
    std::error_code ignored;
    this->acceptor.cancel(ignored);
    done.set_value();
  });
  done.get_future().wait();
}

void fault_proxy::apply(link_fault fault) {
  this->current = fault == link_fault::reset ? link_fault::none : fault;
  const std::vector<std::shared_ptr<proxied_link>> open(this->links.begin(),
                                                        this->links.end());
  for (const auto& each : open) {
    each->set(this->current);
    if (fault == link_fault::reset) each->reset();
  }
}

void fault_proxy::accept() {
  this->acceptor.async_accept(
      [this](std::error_code failed, asio::ip::tcp::socket socket) {
        if (failed == asio::error::operation_aborted) return;
        if (!failed) {
          auto link =
              std::make_shared<proxied_link>(std::move(socket), this->pacer);
          this->links.insert(link);
          link->start(this->target, this->current);
        }
        std::erase_if(this->links,
                      [](const auto& each) { return each.use_count() == 1; });
        this->accept();
      });
}

}  // namespace boragehill::soak
