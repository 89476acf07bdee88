#include "fleet-test/answering_server.hpp"

#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <json/json.h>
#include <memory>
#include <utility>

#include "http/message_parser.hpp"
#include "kernel/json_text.hpp"

namespace boragehill::fleet_test {

class answering_server::connection
    : public std::enable_shared_from_this<connection> {
 public:
  connection(asio::ip::tcp::socket socket, const answering_server& server)
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
    const auto late = std::exchange(this->answer.late, {});
    this->answer = this->server.reply(this->parser.head());
    this->answer.head.insert(0, late);
    this->parser.next();
    const std::array<asio::const_buffer, 2> both{
        asio::buffer(this->answer.head), asio::buffer(this->answer.body)};
    asio::async_write(
        this->socket, both,
        [self = this->shared_from_this()](std::error_code failed, std::size_t) {
          if (!failed && !self->answer.closes) self->read();
        });
  }

  asio::ip::tcp::socket socket;
  const answering_server& server;
  http::message_parser parser;
  std::array<char, 4096> buffer{};
  server_answer_bytes answer;
};

answering_server::answering_server(const endpoint& address, replier reply)
    : reply(std::move(reply)), address(address) {
  const asio::ip::tcp::endpoint at(asio::ip::make_address(address.address),
                                   address.port);
  this->acceptor.open(at.protocol());
  this->acceptor.set_option(asio::socket_base::reuse_address(true));
  this->acceptor.bind(at);
  this->acceptor.listen();
  this->address.port = this->acceptor.local_endpoint().port();
  this->accept();
  this->thread = std::thread([this] { this->context.run(); });
}

answering_server::~answering_server() {
  this->context.stop();
  this->thread.join();
}

std::string answering_server::entry(int slots) const {
  Json::Value entry;
  entry["service"] = "sheets";
  entry["addr"] = this->address.to_string();
  entry["zone"] = "zone-1";
  entry["version"] = "1";
  entry["slots"] = slots;
  entry["state"] = "ready";
  entry["seq"] = 1;
  return kernel::write_json(entry);
}

void answering_server::accept() {
  this->acceptor.async_accept(
      [this](std::error_code failed, asio::ip::tcp::socket socket) {
        if (failed) return;
        std::make_shared<connection>(std::move(socket), *this)->read();
        this->accept();
      });
}

}  // namespace boragehill::fleet_test
