#ifndef BORAGEHILL_ADAPTER_TEST_FAKE_STORE_HPP
#define BORAGEHILL_ADAPTER_TEST_FAKE_STORE_HPP

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

namespace boragehill::platform {

/// What an answer is like that no store should give.
enum class bad_answer {
  none,
  /// The connection ends in the middle.
  cut_off,
  /// More bytes follow than its length says.
  too_long,
  /// Nothing follows its first half.
  stalled,
  /// A byte a second follows its first half.
  trickling
};

/// A store of one row and its history, on the test's own thread and loopback,
/// that can swallow calls: it takes them and never answers, also not when it
/// answers others. All of its answers can share a link of limited bandwidth.
class fake_store {
 public:
  explicit fake_store(asio::io_context& context);

  endpoint address() const;

  /// Changes the row and answers the polls that wait for it.
  void put(const std::string& value);
  /// Comes back from an older copy: the row has had these values.
  void restore(std::vector<std::string> history);
  /// From now on calls are swallowed, those that wait as well.
  void fall_silent();
  /// Answers new calls again.
  void come_back() { this->silent = false; }
  /// Answers each call so much later.
  void answer_after(milliseconds delay) { this->delay = delay; }
  /// Answers calls with this status and no rows, those that wait as well; 0 as
  /// usual.
  void refuse_with(int status);
  /// Sends no more bytes a second than this, over all connections; 0 without a
  /// limit.
  void limit_link(std::size_t bytes_per_s) { this->link_rate = bytes_per_s; }

  /// Answers the next calls in a way that no store should; answers after them
  /// are whole.
  void answer_badly(bad_answer kind, int answers) {
    this->badness = kind;
    this->bad_answers = answers;
  }

  int swallowed() const { return this->calls_swallowed; }
  int answered() const { return this->calls_answered; }
  std::size_t bytes_sent() const { return this->sent; }

 private:
  struct caller;
  /// A response that is being sent.
  struct transfer {
    std::shared_ptr<caller> to;
    std::string text;
    std::size_t offset = 0;
    bad_answer kind = bad_answer::none;
    time_point next_byte;
  };

  void accept();
  void read(const std::shared_ptr<caller>& from);
  void take(const std::shared_ptr<caller>& from, const std::string& target);
  void wait_for_news(const std::shared_ptr<caller>& from, milliseconds longest);
  void answer(const std::shared_ptr<caller>& to, std::int64_t after);
  void refuse(const std::shared_ptr<caller>& to);
  void write(const std::shared_ptr<caller>& to, const std::string& text);
  void send_pieces();
  void send_piece(const std::shared_ptr<transfer>& each, std::size_t most);
  std::size_t next_size(transfer& each, std::size_t most) const;
  std::string body(std::int64_t after) const;

  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer link_timer;
  std::list<std::shared_ptr<caller>> waiting;
  std::list<std::shared_ptr<transfer>> transfers;
  /// The row's values; the first one has version 1.
  std::vector<std::string> values{"first"};
  int era = 1;
  milliseconds delay{0};
  std::size_t link_rate = 0;
  bad_answer badness = bad_answer::none;
  int bad_answers = 0;
  int refusal = 0;
  bool silent = false;
  int calls_swallowed = 0;
  int calls_answered = 0;
  std::size_t sent = 0;
};

}  // namespace boragehill::platform

#endif  // BORAGEHILL_ADAPTER_TEST_FAKE_STORE_HPP
