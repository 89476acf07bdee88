#include "wire/rpc_server.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "kernel/bounded_ring.hpp"
#include "kernel/duty_support.hpp"
#include "kernel/event_log.hpp"
#include "wire/rpc_connection.hpp"
#include "wire/rpc_worker.hpp"

namespace boragehill::wire {

namespace {

constexpr milliseconds accept_pause{100};
constexpr milliseconds ring_full_log_interval{1000};

using asio::ip::tcp;

}  // namespace

class rpc_server::impl final : public detail::rpc_connection_owner {
 public:
  explicit impl(rpc_server_settings settings)
      : settings(std::move(settings)),
        acceptor(this->context),
        accept_timer(this->context),
        work(this->context.get_executor()),
        calls(this->settings.queue) {}

  ~impl() override { this->stop(); }

  void add(std::string method, handler handle) {
    this->methods.insert_or_assign(std::move(method), std::move(handle));
  }

  result<void> start() {
    if (!this->listen()) return result_code::address_in_use;
    this->accept_next();
    this->socket_thread = std::thread([this] {
      kernel::detail::name_this_thread("rpc-sockets");
      this->context.run();
    });
    for (std::size_t i = 0; i < this->settings.worker_threads; ++i) {
      this->workers.emplace_back([this] { this->work_calls(); });
    }
    return success();
  }

  void stop() {
    if (!this->socket_thread.joinable()) return;
    asio::post(this->context, [this] { this->stop_reading(); });
    this->calls.close();
    for (std::thread& worker : this->workers) worker.join();
    // The socket thread ends by itself once the last answer is sent or timed
    // out and every connection is closed.
    this->work.reset();
    this->socket_thread.join();
  }

  void on_frame(const std::shared_ptr<detail::rpc_connection>& from,
                std::string text) override {
    if (this->calls.try_push({.from = from, .text = std::move(text)})) return;
    this->log_full_ring();
    from->reply(detail::rpc_error_text(result_code::server_busy));
  }

  void on_closed(
      const std::shared_ptr<detail::rpc_connection>& which) override {
    this->connections.erase(which);
  }

  rpc_server_settings settings;
  endpoint address;
  detail::rpc_traffic traffic;

 private:
  bool listen() {
    std::error_code error;
    const auto ip =
        asio::ip::make_address(this->settings.listen.address, error);
    if (error) return false;
    const tcp::endpoint wanted(ip, this->settings.listen.port);
    this->acceptor.open(wanted.protocol(), error);
    if (error) return false;
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    this->acceptor.bind(wanted, error);
    if (!error) {
      this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      std::error_code ignored;
      this->acceptor.close(ignored);
      return false;
    }
    this->address = {.address = this->settings.listen.address,
                     .port = this->acceptor.local_endpoint().port()};
    return true;
  }

  void accept_next() {
    this->acceptor.async_accept(
        [this](const std::error_code& error, tcp::socket socket) {
          if (this->stopping) return;
          if (error) return this->pause_accepting();
          this->take(std::move(socket));
          this->accept_next();
        });
  }

  // With all file descriptors in use, accept fails at once and the peer stays
  // in the backlog: accepting again without a pause would take a whole core.
  void pause_accepting() {
    this->accept_timer.expires_after(accept_pause);
    this->accept_timer.async_wait([this](const std::error_code& error) {
      if (!error && !this->stopping) this->accept_next();
    });
  }

  void take(tcp::socket socket) {
    if (this->connections.size() >= this->settings.max_connections) {
      kernel::log_event(kernel::event::connection_refused,
                        {{"connections", this->connections.size()}});
      return;
    }
    auto connection = std::make_shared<detail::rpc_connection>(
        std::move(socket), this->settings, *this, this->traffic);
    this->connections.insert(connection);
    connection->start();
  }

  void stop_reading() {
    this->stopping = true;
    std::error_code ignored;
    this->acceptor.close(ignored);
    this->accept_timer.cancel();
    const auto all = this->connections;
    for (const auto& connection : all) connection->finish();
  }

  void work_calls() {
    kernel::detail::name_this_thread("rpc-worker");
    detail::rpc_worker worker(this->methods, this->settings.max_frame);
    while (auto call = this->calls.pop()) worker.serve(*call);
  }

  /// Once a second at most, so that overload doesn't flood the log.
  void log_full_ring() {
    const time_point now = time_point::clock::now();
    if (now < this->next_full_log) return;
    this->next_full_log = now + ring_full_log_interval;
    kernel::log_event(kernel::event::ring_full,
                      {{"ring", "rpc"}, {"capacity", this->calls.capacity()}});
  }

  asio::io_context context;
  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  kernel::bounded_ring<detail::rpc_call> calls;
  detail::rpc_methods methods;
  std::set<std::shared_ptr<detail::rpc_connection>> connections;
  bool stopping = false;
  time_point next_full_log;
  std::thread socket_thread;
  std::vector<std::thread> workers;
};

rpc_server::rpc_server(rpc_server_settings settings)
    : inner(std::make_unique<impl>(std::move(settings))) {}

rpc_server::~rpc_server() = default;

void rpc_server::add(std::string method, handler handle) {
  this->inner->add(std::move(method), std::move(handle));
}

result<void> rpc_server::start() {
  return this->inner->start();
}

endpoint rpc_server::bound() const {
  return this->inner->address;
}

void rpc_server::stop() {
  this->inner->stop();
}

std::uint64_t rpc_server::bytes_in() const {
  return this->inner->traffic.in;
}

std::uint64_t rpc_server::bytes_out() const {
  return this->inner->traffic.out;
}

}  // namespace boragehill::wire
