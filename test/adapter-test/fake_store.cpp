#include "adapter-test/fake_store.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <asio/buffer.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <cstdlib>
#include <istream>

namespace boragehill::platform {

namespace {

std::int64_t parameter(const std::string& target, const std::string& name) {
  const auto found = target.find(name + "=");
  if (found == std::string::npos) return 0;
  return std::atoll(target.c_str() + found + name.size() + 1);
}

}  // namespace

struct fake_store::caller {
  explicit caller(asio::ip::tcp::socket accepted)
      : socket(std::move(accepted)), timer(socket.get_executor()) {}

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  asio::streambuf buffer;
};

fake_store::fake_store(asio::io_context& context)
    : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {
  this->accept();
}

endpoint fake_store::address() const {
  return {"127.0.0.1", this->acceptor.local_endpoint().port()};
}

void fake_store::accept() {
  this->acceptor.async_accept(
      [this](std::error_code error, asio::ip::tcp::socket socket) {
        if (error) return;
        this->read(std::make_shared<caller>(std::move(socket)));
        this->accept();
      });
}

void fake_store::read(const std::shared_ptr<caller>& from) {
  asio::async_read_until(from->socket, from->buffer, "\r\n\r\n",
                         [this, from](std::error_code error, std::size_t) {
                           if (error) return;
                           std::istream head(&from->buffer);
                           std::string method;
                           std::string target;
                           head >> method >> target;
                           from->buffer.consume(from->buffer.size());
                           this->take(from, target);
                         });
}

void fake_store::take(const std::shared_ptr<caller>& from,
                      const std::string& target) {
  if (this->silent) {
    ++this->calls_swallowed;
    // Kept open: nothing but its own patience tells the caller.
    return this->read(from);
  }
  if (this->refusal != 0) {
    return this->write(from, absl::StrCat("HTTP/1.1 ", this->refusal,
                                          " No\r\nContent-Length: 0\r\n\r\n"));
  }
  const bool reads_all = target.starts_with("/rows-get");
  if (reads_all || parameter(target, "after") < this->version) {
    return this->answer(from, true);
  }
  this->wait_for_news(from, milliseconds(parameter(target, "waitMs")));
}

void fake_store::wait_for_news(const std::shared_ptr<caller>& from,
                               milliseconds longest) {
  this->waiting.push_back(from);
  from->timer.expires_after(longest);
  from->timer.async_wait([this, from](std::error_code cancelled) {
    if (cancelled) return;
    this->waiting.remove(from);
    this->answer(from, false);
  });
}

void fake_store::answer(const std::shared_ptr<caller>& to, bool with_row) {
  const std::string text = this->body(with_row);
  this->write(to, absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ",
                               text.size(), "\r\n\r\n", text));
}

void fake_store::write(const std::shared_ptr<caller>& to,
                       const std::string& text) {
  ++this->calls_answered;
  to->timer.expires_after(this->delay);
  to->timer.async_wait([this, to, text](std::error_code cancelled) {
    if (cancelled) return;
    auto kept = std::make_shared<std::string>(text);
    asio::async_write(to->socket, asio::buffer(*kept),
                      [this, to, kept](std::error_code error, std::size_t) {
                        if (!error) this->read(to);
                      });
  });
}

std::string fake_store::body(bool with_row) const {
  const std::string rows =
      with_row ? absl::StrCat(R"({"table":"t","part":"","key":"k","value":")",
                              absl::Base64Escape(this->value), R"(","ver":)",
                              this->version, "}")
               : "";
  return absl::StrCat(R"({"hasMore":false,"ver":)", this->version,
                      R"(,"rows":[)", rows, "]}");
}

void fake_store::put(const std::string& news) {
  this->value = news;
  ++this->version;
  const auto told = std::exchange(this->waiting, {});
  for (const auto& each : told) {
    each->timer.cancel();
    this->answer(each, true);
  }
}

void fake_store::fall_silent() {
  for (const auto& each : std::exchange(this->waiting, {})) {
    each->timer.cancel();
    ++this->calls_swallowed;
    this->read(each);
  }
  this->silent = true;
}

}  // namespace boragehill::platform
