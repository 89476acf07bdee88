#include "fleet-test/wide_server.hpp"

#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <json/json.h>
#include <memory>
#include <utility>

#include "http/head_text.hpp"
#include "http/header_list.hpp"
#include "http/message_parser.hpp"
#include "kernel/json_text.hpp"

namespace boragehill::fleet_test {

class wide_server::connection
    : public std::enable_shared_from_this<connection> {
 public:
  connection(asio::ip::tcp::socket socket, const wide_server& server)
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
    const auto& head = this->parser.head();
    const bool is_long = head.target.ends_with("long");
    const auto& body = is_long ? this->server.long_body : this->short_body;
    http::header_list headers;
    const auto* attempt = head.headers.find("Boragehill-Attempt-Id");
    if (attempt) headers.add("Boragehill-Attempt-Id", *attempt);
    headers.add("Boragehill-Response-Stamp", this->server.id);
    headers.add("Content-Length", std::to_string(body.size()));
    constexpr int ok = 200;
    this->head_text = http::answer_head(ok, headers);
    this->parser.next();
    const std::array<asio::const_buffer, 2> both{asio::buffer(this->head_text),
                                                 asio::buffer(body)};
    asio::async_write(
        this->socket, both,
        [self = this->shared_from_this()](std::error_code failed, std::size_t) {
          if (!failed) self->read();
        });
  }

  asio::ip::tcp::socket socket;
  const wide_server& server;
  http::message_parser parser;
  std::array<char, 4096> buffer{};
  std::string head_text;
  std::string short_body = "short";
};

wide_server::wide_server(const endpoint& address, std::string id,
                         std::size_t long_bytes)
    : address(address), id(std::move(id)), long_body(long_bytes, 'x') {
  const asio::ip::tcp::endpoint at(asio::ip::make_address(address.address),
                                   address.port);
  this->acceptor.open(at.protocol());
  this->acceptor.set_option(asio::socket_base::reuse_address(true));
  this->acceptor.bind(at);
  this->acceptor.listen();
  this->accept();
  this->thread = std::thread([this] { this->context.run(); });
}

wide_server::~wide_server() {
  this->context.stop();
  this->thread.join();
}

std::string wide_server::entry() const {
  Json::Value entry;
  entry["service"] = "sheets";
  entry["addr"] = this->address.to_string();
  entry["zone"] = "zone-1";
  entry["version"] = "1";
  entry["slots"] = 100000;
  entry["state"] = "ready";
  entry["seq"] = 1;
  return kernel::write_json(entry);
}

void wide_server::accept() {
  this->acceptor.async_accept(
      [this](std::error_code failed, asio::ip::tcp::socket socket) {
        if (failed) return;
        std::make_shared<connection>(std::move(socket), *this)->read();
        this->accept();
      });
}

}  // namespace boragehill::fleet_test
