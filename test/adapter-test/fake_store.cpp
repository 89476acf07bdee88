#include "adapter-test/fake_store.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <cstdlib>
#include <istream>
#include <utility>

namespace boragehill::platform {

namespace {

/// Time between two pieces of a response on a limited link.
constexpr milliseconds link_tick{5};
constexpr std::size_t unlimited_piece = 1 << 20;

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
  /// The newest version that it knows.
  std::int64_t known = 0;
};

fake_store::fake_store(asio::io_context& context)
    : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
      link_timer(context) {
  this->accept();
}

endpoint fake_store::address() const {
  return {"127.0.0.1", this->acceptor.local_endpoint().port()};
}

void fake_store::accept() {
  this->acceptor.async_accept(
      [this](std::error_code error, asio::ip::tcp::socket socket) {
        if (error) return;
        // A caller on the same thread reads while it is written to.
        socket.non_blocking(true, error);
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
  if (this->refusal != 0) return this->refuse(from);
  const auto newest = static_cast<std::int64_t>(this->values.size());
  if (target.starts_with("/rows-get")) return this->answer(from, newest - 1);
  const auto after = parameter(target, "after");
  from->known = after;
  if (after < newest) return this->answer(from, after);
  this->wait_for_news(from, milliseconds(parameter(target, "waitMs")));
}

void fake_store::wait_for_news(const std::shared_ptr<caller>& from,
                               milliseconds longest) {
  this->waiting.push_back(from);
  from->timer.expires_after(longest);
  from->timer.async_wait([this, from](std::error_code cancelled) {
    if (cancelled) return;
    this->waiting.remove(from);
    this->answer(from, from->known);
  });
}

void fake_store::answer(const std::shared_ptr<caller>& to, std::int64_t after) {
  const std::string text = this->body(after);
  this->write(
      to, absl::StrCat("HTTP/1.1 200 OK\r\nStore-Era: ", this->era,
                       "\r\nContent-Length: ", text.size(), "\r\n\r\n", text));
}

void fake_store::refuse(const std::shared_ptr<caller>& to) {
  this->write(to, absl::StrCat("HTTP/1.1 ", this->refusal,
                               " No\r\nContent-Length: 0\r\n\r\n"));
}

void fake_store::write(const std::shared_ptr<caller>& to,
                       const std::string& text) {
  ++this->calls_answered;
  to->timer.expires_after(this->delay);
  to->timer.async_wait([this, to, text](std::error_code cancelled) {
    if (cancelled) return;
    const bool bad = this->bad_answers > 0;
    if (bad) --this->bad_answers;
    const auto kind = bad ? this->badness : bad_answer::none;
    const char* surplus = kind == bad_answer::too_long ? "surplus" : "";
    this->transfers.push_back(std::make_shared<transfer>(
        transfer{.to = to, .text = text + surplus, .kind = kind}));
    if (this->transfers.size() == 1) this->send_pieces();
  });
}

void fake_store::send_pieces() {
  constexpr std::size_t ms_per_s = 1000;
  std::erase_if(this->transfers, [](const auto& each) {
    return each->offset >= each->text.size();
  });
  if (this->transfers.empty()) return;
  const std::size_t share = this->link_rate *
                            static_cast<std::size_t>(link_tick.count()) /
                            ms_per_s / this->transfers.size();
  for (const auto& each : this->transfers) {
    this->send_piece(each, this->link_rate == 0 ? unlimited_piece : share);
  }
  this->link_timer.expires_after(link_tick);
  this->link_timer.async_wait([this](std::error_code cancelled) {
    if (!cancelled) this->send_pieces();
  });
}

void fake_store::send_piece(const std::shared_ptr<transfer>& each,
                            std::size_t most) {
  const auto size = this->next_size(*each, most);
  if (size == 0) return;
  std::error_code error;
  const std::size_t written = each->to->socket.write_some(
      asio::buffer(each->text.data() + each->offset, size), error);
  this->sent += written;
  each->offset += written;
  if (error && error != asio::error::would_block) {
    each->offset = each->text.size();
  } else if (each->offset == each->text.size()) {
    this->read(each->to);
  }
}

std::size_t fake_store::next_size(transfer& each, std::size_t most) const {
  const auto left = each.text.size() - each.offset;
  const auto half = each.text.size() / 2;
  if (each.kind == bad_answer::none || each.kind == bad_answer::too_long) {
    return std::min(most, left);
  }
  if (each.offset < half) return std::min(most, half - each.offset);
  const auto now = time_point::clock::now();
  if (each.kind == bad_answer::cut_off) {
    std::error_code ignored;
    each.to->socket.close(ignored);
    each.offset = each.text.size();
  }
  if (each.kind != bad_answer::trickling || now < each.next_byte) return 0;
  each.next_byte = now + milliseconds(1000);
  return 1;
}

std::string fake_store::body(std::int64_t after) const {
  const auto newest = static_cast<std::int64_t>(this->values.size());
  std::vector<std::string> rows;
  for (auto version = after + 1; version <= newest; ++version) {
    const auto& value = this->values[static_cast<std::size_t>(version - 1)];
    rows.push_back(absl::StrCat(R"({"table":"t","part":"","key":"k","value":")",
                                absl::Base64Escape(value), R"(","ver":)",
                                version, "}"));
  }
  return absl::StrCat(R"({"hasMore":false,"ver":)", newest, R"(,"rows":[)",
                      absl::StrJoin(rows, ","), "]}");
}

void fake_store::put(const std::string& value) {
  this->values.push_back(value);
  const auto told = std::exchange(this->waiting, {});
  for (const auto& each : told) {
    each->timer.cancel();
    this->answer(each, each->known);
  }
}

void fake_store::restore(std::vector<std::string> history) {
  ++this->era;
  this->values = std::move(history);
  for (const auto& each : std::exchange(this->waiting, {})) {
    each->timer.cancel();
    std::error_code ignored;
    each->socket.close(ignored);
  }
}

void fake_store::refuse_with(int status) {
  this->refusal = status;
  if (status == 0) return;
  for (const auto& each : std::exchange(this->waiting, {})) {
    each->timer.cancel();
    this->refuse(each);
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
