#include "soak/proxied_link.hpp"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <utility>

namespace boragehill::soak {

namespace {

constexpr std::chrono::milliseconds delay{150};

}  // namespace

proxied_link::proxied_link(asio::ip::tcp::socket accepted,
                           std::shared_ptr<link_pacer> pacer)
    : caller(std::move(accepted)),
      server(this->caller.get_executor()),
      requests(this->caller.get_executor()),
      answers(this->caller.get_executor()),
      pacer(std::move(pacer)) {
  this->requests.from = this->answers.to = &this->caller;
  this->requests.to = this->answers.from = &this->server;
  this->requests.cut = link_fault::cut_requests;
  this->answers.cut = link_fault::cut_answers;
}

void proxied_link::start(const endpoint& target, link_fault now) {
  this->fault = now;
  this->server.async_connect(
      {asio::ip::make_address(target.address), target.port},
      [self = this->shared_from_this()](std::error_code failed) {
        if (failed || self->over) return self->reset();
        std::error_code ignored;
        const asio::ip::tcp::no_delay at_once(true);
        self->caller.set_option(at_once, ignored);
        self->server.set_option(at_once, ignored);
        self->pump(self->requests);
        self->pump(self->answers);
      });
}

void proxied_link::set(link_fault now) {
  this->fault = now;
  if (this->over) return;
  for (auto* way : {&this->requests, &this->answers}) {
    if (way->held > 0 && !this->is_cut(*way)) this->pass(*way);
  }
}

bool proxied_link::is_cut(const direction& way) const {
  return this->fault == link_fault::silence || this->fault == way.cut;
}

void proxied_link::pump(direction& way) {
  if (this->over || way.reading) return;
  way.reading = true;
  way.from->async_read_some(asio::buffer(way.buffer),
                            [self = this->shared_from_this(), &way](
                                std::error_code failed, std::size_t size) {
                              way.reading = false;
                              if (failed) return self->end();
                              way.held = size;
                              // What is held goes on when the fault ends.
                              if (!self->is_cut(way)) self->pass(way);
                            });
}

void proxied_link::pass(direction& way) {
  const bool thin = this->fault == link_fault::thin;
  if (!thin && this->fault != link_fault::delay) return this->write(way);
  way.timer.expires_after(thin ? this->pacer->delay_of(way.held) : delay);
  way.timer.async_wait(
      [self = this->shared_from_this(), &way](std::error_code cancelled) {
        if (!cancelled && !self->is_cut(way)) self->write(way);
      });
}

void proxied_link::write(direction& way) {
  const auto size = std::exchange(way.held, 0);
  if (this->over || size == 0) return;
  asio::async_write(*way.to, asio::buffer(way.buffer.data(), size),
                    [self = this->shared_from_this(), &way](
                        std::error_code failed, std::size_t) {
                      if (failed) return self->end();
                      self->pump(way);
                    });
}

void proxied_link::reset() {
  std::error_code ignored;
  const asio::socket_base::linger at_once(true, 0);
  this->caller.set_option(at_once, ignored);
  this->server.set_option(at_once, ignored);
  this->end();
}

void proxied_link::end() {
  if (std::exchange(this->over, true)) return;
  std::error_code ignored;
  this->caller.close(ignored);
  this->server.close(ignored);
  this->requests.timer.cancel();
  this->answers.timer.cancel();
}

}  // namespace boragehill::soak
