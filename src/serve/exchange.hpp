#ifndef BORAGEHILL_SERVE_EXCHANGE_HPP
#define BORAGEHILL_SERVE_EXCHANGE_HPP

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boragehill/time_point.hpp>

#include "decide/attempt_history.hpp"
#include "decide/quota_charge.hpp"
#include "decide/request_rank.hpp"
#include "decide/response_end.hpp"
#include "decide/version_binding.hpp"
#include "fleet/request_fields.hpp"
#include "fleet/route.hpp"
#include "http/event_splitter.hpp"
#include "serve/caller_request.hpp"
#include "serve/exchange_result.hpp"
#include "serve/server_answer.hpp"

namespace boragehill::fleet {
struct account;
struct answer_fields;
struct server;
}  // namespace boragehill::fleet

namespace boragehill::serve {

class caller_session;
class exchange_host;
class server_connection;
class server_pool;

/// One request of a caller, from its last byte to the end of its answer.
class exchange : public server_answer,
                 public std::enable_shared_from_this<exchange> {
 public:
  exchange(asio::io_context& context, exchange_host& host,
           caller_request request, std::weak_ptr<caller_session> session);

  /// Routes the request and looks for a server.
  void start();

  /// Sends it to a server over a connection that was taken for it.
  void send_to(const fleet::server& server,
               const std::shared_ptr<server_connection>& connection);

  /// Answers that it was not run, or that its outcome is unknown, as is true.
  /// \param retry_after When the caller should come back; zero if it's better
  ///     not to say.
  void refuse(result_code code, const char* reason, milliseconds retry_after);

  /// \return True if another server may take it from the one that has it.
  bool may_move() const;
  /// \return True if its response is the rest of a stream that its caller has
  ///     begun to receive by another attempt.
  bool takes_up_stream() const;
  /// \return Which servers may write the next event of its response.
  const decide::version_binding& versions() const { return this->binding; }
  /// \return True if its route leads to the service.
  bool may_use(const std::string& service) const;
  /// Chooses one of the services that its route leads to.
  void use_service(const std::string& service) { this->target = service; }
  /// Sets at which version a stream that its caller takes up goes on.
  void bind(decide::version_binding bound) { this->binding = std::move(bound); }
  /// Leaves a silent server and goes to another one.
  void move_from_silent();
  /// Leaves its server; its caller is told that the outcome is unknown, or, if
  /// an answer has begun, sees it break off.
  void give_up(const char* reason);

  /// The end of its response was judged, as it had asked for.
  void on_end_judged(bool is_complete);

  /// The caller hung up.
  void on_caller_gone();

  /// The caller has taken what was sent to it.
  void on_caller_ready();

  void on_unsent() override;
  bool on_head(const http::message_head& head) override;
  void on_body(const std::string& bytes) override;
  void on_end() override;
  void on_broken() override;

  const caller_request& request() const { return this->what; }
  /// \return How many requests its connection to the server has carried, this
  ///     one included; 0 if no server has it.
  int connection_requests() const;
  /// \return True if a head on its connection is provably that of its answer.
  bool is_answered_by(const fleet::answer_fields& answer) const;
  /// \return Equal for requests that are alike in caller, method, host, target
  ///     and body.
  const std::string& fingerprint() const { return this->print; }
  const fleet::request_fields& fields() const { return this->asked; }
  /// \return Null if it was refused before it was routed.
  const fleet::route* route() const { return this->way.get(); }
  const std::string& service() const { return this->target; }
  /// \return The client account that sent it; null if none did.
  const fleet::account* account() const { return this->sender; }
  /// \return What a send of it costs its account's quota.
  double cost() const;
  /// Keeps what its last send has cost.
  void charge(decide::quota_charge taken) { this->charged = std::move(taken); }
  /// \return What its last send has cost, if it cost anything and that wasn't
  ///     taken before.
  std::optional<decide::quota_charge> take_charge() {
    return std::exchange(this->charged, std::nullopt);
  }
  /// \return How urgent it is.
  decide::request_rank rank() const;
  /// \return The server that has it now; empty if none has.
  const std::string& server() const { return this->at; }
  /// \return The server that had it last; empty if none had.
  const std::string& last_server() const { return this->last; }
  /// \return The software version of that server.
  const std::string& last_software() const { return this->software; }
  const decide::attempt_history& sends() const { return this->record; }
  const exchange_result& result() const { return this->ended; }
  /// \return What is known of the end of the last server's response.
  decide::response_end response_end() const;
  /// \return True if nothing tells how long its response lasts.
  bool is_long_running() const;
  /// \return When its final answer is due at the latest.
  time_point due() const { return this->limit; }
  /// \return True if it must run at most once.
  bool at_most_once() const;
  /// \return False if its time is over or its caller has closed the connection,
  ///     though neither may have been handled yet.
  bool is_wanted(time_point now) const;
  /// \return True if it can't meet its latency objective any more.
  bool is_late(time_point now) const;
  /// \return When the head of the answer that was passed on came, if it did.
  std::optional<time_point> answered() const { return this->first_byte; }
  /// \return The longest time between two pieces of the answer.
  milliseconds longest_gap() const { return this->widest_gap; }
  /// \return True if its caller took the answer more slowly than it came.
  bool slowed_by_caller() const { return this->was_held_up; }
  /// \return True while the server that has it has answered nothing yet.
  bool unanswered() const { return this->unread; }
  /// \return When it was first sent to a server, if it was.
  std::optional<time_point> first_sent() const { return this->offered; }
  /// \return When its last retry was granted.
  time_point retry_granted() const { return this->granted; }
  /// \return True while a retry that the budget granted waits for a server.
  bool holds_retry() const { return this->retry_held; }
  /// \return When it was sent to the server that has it.
  time_point last_sent() const { return this->sent; }

 private:
  bool read_fields();
  bool choose_route();
  /// Finds the client account by the key that the caller shows.
  /// \return False if it needs one and shows none that is known.
  bool authenticate();
  void choose_service();
  void on_limit();
  void again(const char* why);
  /// \return True if another server may give the answer or the rest of it.
  bool can_go_on() const;
  /// Has another attempt granted by the retry budget, unless it would be the
  /// first to arrive anywhere.
  /// \return False if the budget forbids it.
  bool obtain_retry();
  /// Looks for a server for a retry that was granted.
  void retry();
  /// Sends a request that may be repeated to another server, after this one
  /// answered with a failure of its own; keeps that answer.
  /// \return False if the failure is the answer.
  bool repeat_failure();
  /// Passes on the failure that was kept, if one was.
  bool pass_kept_failure();
  void pass_small_answer();
  /// Passes on the end of the response.
  void complete();
  void end_answer();
  void leave_server();
  /// Breaks the connection to the server off, if there is one.
  void drop_server();
  /// Leaves a server that may run it.
  void leave_running();
  /// Drops a piece of the body of a rejection.
  void skip_body(std::size_t bytes);
  void note_piece();
  void go_on_reading();
  void answer_began();
  void pass_head(const http::message_head& head);
  void pass(const std::string& bytes);
  void break_off(const char* why);
  void answer_own(int status, result_code code, const char* reason,
                  milliseconds retry_after);
  void finish(exchange_result result);

  asio::io_context& context;
  exchange_host& host;
  caller_request what;
  std::weak_ptr<caller_session> session;
  std::string print;
  fleet::request_fields asked;
  std::shared_ptr<const fleet::route> way;
  /// Belongs to the catalog that `way` keeps alive.
  const fleet::account* sender = nullptr;
  /// The configuration has accounts.
  bool has_accounts = false;
  std::optional<decide::quota_charge> charged;
  std::string target;
  std::string at;
  std::string last;
  std::string software;
  decide::attempt_history record;
  decide::version_binding binding;
  asio::steady_timer timer;
  time_point limit;
  std::shared_ptr<server_connection> connection;
  std::optional<http::message_head> small_head;
  std::string small_body;
  /// The failure of a server before, if no other one answers.
  std::optional<http::message_head> kept_head;
  std::string kept_body;
  http::event_splitter events;
  std::optional<time_point> first_byte;
  std::optional<time_point> offered;
  time_point granted;
  time_point sent;
  time_point last_piece;
  milliseconds widest_gap{0};
  exchange_result ended;
  /// The server has it and has answered nothing yet.
  bool unread = false;
  /// Its answer isn't read, since the caller is slow.
  bool held_up = false;
  /// The last server's response is.
  bool unframed = false;
  /// What is passed on to the caller is one.
  bool is_event_stream = false;
  /// Its response ended, and its server is asked whether it lives.
  bool unconfirmed = false;
  bool retry_held = false;
  bool was_held_up = false;
  bool head_passed = false;
  bool not_run_answer = false;
  /// Of that answer's body.
  std::size_t skipped_bytes = 0;
  bool misdirected = false;
  bool asked_rest = false;
  bool replaced = false;
  bool resumed = false;
  bool done = false;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_EXCHANGE_HPP
