#ifndef BORAGEHILL_ADAPTER_TEST_FAKE_STORE_HPP
#define BORAGEHILL_ADAPTER_TEST_FAKE_STORE_HPP

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::platform {

/// A store of one row, on the test's own thread and loopback, that can swallow
/// calls: it takes them and never answers, also not when it answers others.
class fake_store {
 public:
  explicit fake_store(asio::io_context& context);

  endpoint address() const;

  /// Changes the row and answers the polls that wait for it.
  void put(const std::string& value);
  /// From now on calls are swallowed, those that wait as well.
  void fall_silent();
  /// Answers new calls again.
  void come_back() { this->silent = false; }
  /// Answers each call so much later.
  void answer_after(milliseconds delay) { this->delay = delay; }
  /// Answers calls with this status and no rows; 0 as usual.
  void refuse_with(int status) { this->refusal = status; }

  int swallowed() const { return this->calls_swallowed; }
  int answered() const { return this->calls_answered; }

 private:
  struct caller;
  void accept();
  void read(const std::shared_ptr<caller>& from);
  void take(const std::shared_ptr<caller>& from, const std::string& target);
  void wait_for_news(const std::shared_ptr<caller>& from, milliseconds longest);
  void answer(const std::shared_ptr<caller>& to, bool with_row);
  void write(const std::shared_ptr<caller>& to, const std::string& text);
  std::string body(bool with_row) const;

  asio::ip::tcp::acceptor acceptor;
  std::list<std::shared_ptr<caller>> waiting;
  std::string value = "first";
  std::int64_t version = 1;
  milliseconds delay{0};
  int refusal = 0;
  bool silent = false;
  int calls_swallowed = 0;
  int calls_answered = 0;
};

}  // namespace boragehill::platform

#endif  // BORAGEHILL_ADAPTER_TEST_FAKE_STORE_HPP
