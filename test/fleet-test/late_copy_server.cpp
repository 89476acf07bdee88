#include "fleet-test/late_copy_server.hpp"

#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <json/json.h>
#include <memory>
#include <utility>

#include "http/message_parser.hpp"
#include "kernel/json_text.hpp"

namespace boragehill::fleet_test {

class late_copy_server::connection
    : public std::enable_shared_from_this<connection> {
 public:
  connection(asio::ip::tcp::socket socket, late_copy_server& server)
      : socket(std::move(socket)),
        server(server),
        parser(http::message_kind::request, most_header_bytes) {}

  void read() {
    this->socket.async_read_some(
        asio::buffer(this->buffer),
        [self = this->shared_from_this()](std::error_code failed,
                                          std::size_t size) {
          if (!failed) self->on_bytes({self->buffer.data(), size});
        });
  }

 private:
  static constexpr std::size_t most_header_bytes = 65536;

  void on_bytes(const std::string& bytes) {
    this->parser.feed(bytes);
    (void)this->parser.take_body();
    if (!this->parser.complete()) return this->read();
    const auto* attempt =
        this->parser.head().headers.find("Boragehill-Attempt-Id");
    const auto reply =
        this->server.reply_to(attempt ? *attempt : std::string());
    this->answer = std::exchange(this->late, reply.late_bytes) + reply.bytes;
    this->parser.next();
    asio::async_write(
        this->socket, asio::buffer(this->answer),
        [self = this->shared_from_this()](std::error_code failed, std::size_t) {
          if (!failed) self->read();
        });
  }

  asio::ip::tcp::socket socket;
  late_copy_server& server;
  http::message_parser parser;
  std::array<char, 4096> buffer{};
  std::string answer;
  std::string late;
};

late_copy_server::late_copy_server(replier reply)
    : reply(std::move(reply)),
      acceptor(this->context,
               {asio::ip::address_v4::loopback(), asio::ip::port_type{0}}) {
  this->accept();
  this->thread = std::thread([this] { this->context.run(); });
}

late_copy_server::~late_copy_server() {
  this->context.stop();
  this->thread.join();
}

std::string late_copy_server::entry() const {
  Json::Value entry;
  entry["service"] = "sheets";
  entry["addr"] =
      "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
  entry["zone"] = "zone-1";
  entry["version"] = "1";
  entry["slots"] = 8;
  entry["state"] = "ready";
  entry["seq"] = 1;
  return kernel::write_json(entry);
}

int late_copy_server::runs_of(const std::string& attempt) {
  const std::scoped_lock lock(this->mutex);
  return this->runs[attempt];
}

int late_copy_server::sends_of(const std::string& attempt) {
  const std::scoped_lock lock(this->mutex);
  return this->sends[attempt];
}

void late_copy_server::accept() {
  this->acceptor.async_accept(
      [this](std::error_code failed, asio::ip::tcp::socket socket) {
        if (failed) return;
        std::make_shared<connection>(std::move(socket), *this)->read();
        this->accept();
      });
}

scripted_reply late_copy_server::reply_to(const std::string& attempt) {
  const std::scoped_lock lock(this->mutex);
  auto answer = this->reply(attempt, ++this->sends[attempt]);
  if (answer.runs) ++this->runs[attempt];
  return answer;
}

}  // namespace boragehill::fleet_test
