#include "serve/exchange.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <utility>

#include "decide/wait_limit.hpp"
#include "fleet/catalog.hpp"
#include "fleet/request_codec.hpp"
#include "fleet/server.hpp"
#include "http/head_text.hpp"
#include "kernel/fingerprint.hpp"
#include "kernel/random.hpp"
#include "serve/caller_session.hpp"
#include "serve/exchange_host.hpp"
#include "serve/server_connection.hpp"

namespace boragehill::serve {

namespace {

constexpr int bad_request_status = 400;
constexpr int unauthorized_status = 401;
constexpr int not_found_status = 404;
constexpr int too_many_requests_status = 429;
constexpr int bad_gateway_status = 502;
constexpr int unavailable_status = 503;
constexpr int gateway_timeout_status = 504;

/// A caller that is refused because servers did not take its request comes
/// back after this; by then the view of the fleet is corrected.
constexpr milliseconds come_back{600};
/// A worker that stops at the limit by itself says so within this; its answer
/// is better than ours.
constexpr milliseconds limit_slack{60};

std::string bare_host(const std::string& value) {
  return absl::AsciiStrToLower(value.substr(0, value.find(':')));
}

std::string path_of(const std::string& target) {
  return target.substr(0, target.find('?'));
}

/// One caller may come from many addresses, so these tell no requests apart.
std::string print_of(const caller_request& request) {
  const auto* host = request.head.headers.find("Host");
  return kernel::fingerprint_of({request.head.method,
                                 host ? std::string_view(*host) : "",
                                 request.head.target, request.body});
}

}  // namespace

exchange::exchange(asio::io_context& context, exchange_host& host,
                   caller_request request,
                   std::weak_ptr<caller_session> session)
    : context(context),
      host(host),
      what(std::move(request)),
      session(std::move(session)),
      print(print_of(this->what)),
      record(fleet::repeat_rule::once, false, 1),
      timer(context) {}

bool exchange::at_most_once() const {
  return this->way->rule != fleet::repeat_rule::idempotent;
}

bool exchange::is_long_running() const {
  return this->way->rule == fleet::repeat_rule::stream ||
         this->asked.output_tokens > 0;
}

bool exchange::is_wanted(time_point now) const {
  if (now >= this->limit) return false;
  const auto caller = this->session.lock();
  return caller && !caller->has_left();
}

bool exchange::is_late(time_point now) const {
  const milliseconds waited(ms_between(this->what.received, now));
  return decide::is_late(waited, this->way->latency_objective);
}

void exchange::start() {
  if (!this->read_fields() || !this->choose_route()) return;
  if (!this->authenticate()) return;
  this->choose_service();
  if (this->takes_up_stream()) {
    this->events.begin_after(*this->asked.last_event);
  }
  this->record = decide::attempt_history(this->way->rule, this->way->resumable,
                                         this->way->attempts);
  auto allowed = this->way->timeout;
  if (this->asked.deadline) allowed = std::min(allowed, *this->asked.deadline);
  this->limit = this->what.received + allowed;
  this->timer.expires_at(this->limit + limit_slack);
  this->timer.async_wait(
      [self = this->shared_from_this()](std::error_code cancelled) {
        if (!cancelled && !self->done) self->on_limit();
      });
  this->host.place(this->shared_from_this());
}

bool exchange::read_fields() {
  auto read = this->host.codec().read_request(this->what.head.headers);
  if (!read) {
    this->answer_own(bad_request_status, code_of(read.error()),
                     "header not understood", milliseconds(0));
    return false;
  }
  this->asked = std::move(read.value());
  return true;
}

bool exchange::choose_route() {
  const auto catalog = this->host.catalog();
  if (!catalog) {
    constexpr milliseconds first_read{500};
    this->answer_own(unavailable_status, result_code::not_ready,
                     "no configuration yet", first_read);
    return false;
  }
  const auto* host_header = this->what.head.headers.find("Host");
  const auto* found = host_header
                          ? catalog->find_route(bare_host(*host_header),
                                                path_of(this->what.head.target))
                          : nullptr;
  if (!found) {
    this->answer_own(not_found_status, result_code::unknown_path, "no route",
                     milliseconds(0));
    return false;
  }
  // Keeps the whole catalog alive as long as the request.
  this->way = std::shared_ptr<const fleet::route>(catalog, found);
  return true;
}

bool exchange::authenticate() {
  const auto& accounts = this->host.catalog()->accounts;
  this->has_accounts = !accounts.empty();
  if (!this->has_accounts) return true;
  const auto& key = this->asked.key;
  if (key) this->sender = accounts.find(*key);
  if (this->sender || this->way->is_public) return true;
  this->answer_own(unauthorized_status, result_code::unauthorized,
                   key ? "unknown key" : "no key", milliseconds(0));
  return false;
}

double exchange::cost() const {
  return this->sender ? this->sender->quota.cost_of(this->asked) : 0;
}

decide::request_rank exchange::rank() const {
  return {.account = this->sender ? this->sender->priority : 0,
          .route = this->way->priority};
}

void exchange::choose_service() {
  double sum = 0;
  for (const auto& each : this->way->targets) sum += each.weight;
  constexpr std::uint64_t steps = 1U << 20U;
  double left = sum * static_cast<double>(kernel::random_bits() % steps) /
                static_cast<double>(steps);
  for (const auto& each : this->way->targets) {
    this->target = each.service;
    left -= each.weight;
    if (left < 0) return;
  }
}

void exchange::send_to(const fleet::server& server,
                       const std::shared_ptr<server_connection>& taken) {
  const auto now = time_point::clock::now();
  this->connection = taken;
  this->at = server.id;
  this->last = server.id;
  this->software = server.software;
  this->unread = true;
  this->retry_held = false;
  this->record.on_attempt(server.id);
  if (!this->offered) this->offered = now;
  this->sent = now;
  this->not_run_answer = false;
  this->misdirected = false;
  this->asked_rest = false;
  this->replaced = false;
  this->unframed = false;
  this->events.restart();
  this->small_head.reset();
  this->small_body.clear();
  const auto left = std::chrono::floor<milliseconds>(this->limit - now);
  fleet::send_fields fields{.expected_server = server.id,
                            .time_left = std::max(left, milliseconds(1)),
                            .priority = this->rank().server_priority()};
  if (this->has_accounts) {
    fields.account = this->sender ? this->sender->name : std::string();
  }
  if (this->head_passed) {
    this->resumed = true;
    fields.last_event = this->events.last_id();
  }
  auto headers = this->host.codec().forwarded(this->what.head.headers, fields);
  const bool has_body = !this->what.body.empty() || this->what.head.chunked ||
                        this->what.head.content_length;
  if (has_body) {
    headers.add("Content-Length", std::to_string(this->what.body.size()));
  }
  taken->send(http::request_head(this->what.head.method, this->what.head.target,
                                 headers) +
                  this->what.body,
              this->what.head.method == "HEAD", this->weak_from_this());
}

int exchange::connection_requests() const {
  return this->connection ? this->connection->request_count() : 0;
}

void exchange::on_unsent() {
  this->connection.reset();
  this->record.on_unsent();
  this->host.on_not_run(*this);
  this->host.on_server_failed(*this, false);
  this->leave_server();
  this->again("server not reached");
}

void exchange::again(const char* why) {
  const bool in_time = time_point::clock::now() < this->limit;
  if (in_time && this->can_go_on() && this->record.may_attempt() &&
      this->obtain_retry()) {
    return this->retry();
  }
  if (this->head_passed) return this->break_off(why);
  this->refuse(result_code::outcome_unknown, why,
               std::max(come_back, this->host.rest_left(*this)));
}

bool exchange::can_go_on() const {
  return !this->head_passed || (this->way->resumable && this->is_event_stream);
}

bool exchange::obtain_retry() {
  return !this->record.may_have_arrived() || this->host.take_repeat(*this);
}

void exchange::retry() {
  this->granted = time_point::clock::now();
  this->retry_held = this->record.may_have_arrived();
  this->host.place(this->shared_from_this());
}

bool exchange::takes_up_stream() const {
  return this->way->is_resumable_stream() && this->asked.last_event;
}

bool exchange::may_use(const std::string& service) const {
  const auto& targets = this->way->targets;
  return std::any_of(targets.begin(), targets.end(),
                     [&](const auto& each) { return each.service == service; });
}

bool exchange::may_move() const {
  return this->can_go_on() && !this->done && !this->unconfirmed &&
         this->record.may_reassign() && time_point::clock::now() < this->limit;
}

void exchange::move_from_silent() {
  this->leave_running();
  this->retry();
}

void exchange::give_up(const char* reason) {
  this->leave_running();
  this->refuse(result_code::outcome_unknown, reason, milliseconds(0));
}

void exchange::leave_running() {
  if (!this->connection && !this->unconfirmed) return;
  this->record.on_possible_run();
  this->drop_server();
}

void exchange::on_limit() {
  this->host.withdraw(*this);
  this->leave_running();
  if (this->head_passed) return this->break_off("time is over");
  if (this->pass_kept_failure()) return;
  if (this->record.is_known_not_run()) {
    return this->answer_own(unavailable_status, result_code::deadline_passed,
                            "no server in time", milliseconds(0));
  }
  this->answer_own(gateway_timeout_status, result_code::outcome_unknown,
                   "time is over", milliseconds(0));
}

void exchange::refuse(result_code code, const char* reason,
                      milliseconds retry_after) {
  if (this->done) return;
  if (this->head_passed) return this->break_off(reason);
  if (this->pass_kept_failure()) return;
  if (this->record.is_known_not_run()) {
    const auto true_code =
        code == result_code::outcome_unknown ? result_code::no_server : code;
    const int status = true_code == result_code::quota_exceeded
                           ? too_many_requests_status
                           : unavailable_status;
    return this->answer_own(status, true_code, reason, retry_after);
  }
  this->answer_own(bad_gateway_status, result_code::outcome_unknown, reason,
                   milliseconds(0));
}

void exchange::on_caller_gone() {
  if (this->done) return;
  this->host.withdraw(*this);
  this->drop_server();
  this->finish({.code = result_code::caller_gone,
                .status = this->ended.status,
                .reason = "caller hung up"});
}

void exchange::drop_server() {
  if (std::exchange(this->unconfirmed, false)) return this->leave_server();
  if (!this->connection) return;
  // The server sees the close and stops.
  if (this->host.lies_unread(*this)) {
    this->connection->abort_unread();
  } else {
    this->connection->abort();
  }
  this->connection.reset();
  this->leave_server();
}

void exchange::leave_server() {
  this->go_on_reading();
  this->host.on_left(*this);
  this->unread = false;
  this->at.clear();
}

void exchange::break_off(const char* why) {
  const auto caller = this->session.lock();
  this->finish({.code = result_code::answer_broken,
                .status = this->ended.status,
                .reason = why});
  if (caller) caller->break_off();
}

void exchange::answer_own(int status, result_code code, const char* reason,
                          milliseconds retry_after) {
  const auto caller = this->session.lock();
  http::header_list headers;
  this->host.codec().name_attempt(headers, this->asked);
  if (retry_after > milliseconds(0)) {
    headers.add("Retry-After",
                absl::StrFormat("%.3f", seconds_of(retry_after)));
  }
  if (status == unauthorized_status) {
    headers.add("WWW-Authenticate", "Bearer");
  }
  const std::string text =
      std::to_string(static_cast<int>(code)) + ' ' + reason + '\n';
  this->finish({.code = code, .status = status, .reason = reason});
  if (caller) caller->answer(status, std::move(headers), text);
}

void exchange::finish(exchange_result result) {
  if (this->done) return;
  this->done = true;
  this->timer.cancel();
  this->ended = std::move(result);
  this->host.on_finished(*this);
}

}  // namespace boragehill::serve
