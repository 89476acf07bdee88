#ifndef BORAGEHILL_SERVE_DISPATCHER_HPP
#define BORAGEHILL_SERVE_DISPATCHER_HPP

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <boragehill/result.hpp>
#include <boragehill/time_point.hpp>

#include "decide/account_allowance.hpp"
#include "decide/account_shares.hpp"
#include "decide/decaying_sum.hpp"
#include "decide/demand_report.hpp"
#include "decide/draining_servers.hpp"
#include "decide/end_confirmation.hpp"
#include "decide/interruption_log.hpp"
#include "decide/rate_limit_report.hpp"
#include "decide/rate_limited_servers.hpp"
#include "decide/response_time_estimate.hpp"
#include "decide/retry_after_servers.hpp"
#include "decide/router_count.hpp"
#include "decide/shutdown_gate.hpp"
#include "decide/slot_grant.hpp"
#include "decide/software_history.hpp"
#include "decide/stream_origins.hpp"
#include "decide/stream_resumption.hpp"
#include "decide/suspect_guard.hpp"
#include "decide/trial_permits.hpp"
#include "decide/waiting_order.hpp"
#include "decide/windowed_retry_budget.hpp"
#include "fleet/catalog.hpp"
#include "fleet/quarantine_row.hpp"
#include "fleet/server_list.hpp"
#include "http/call_failure.hpp"
#include "http/whole_answer.hpp"
#include "serve/entry_metrics.hpp"
#include "serve/entry_settings.hpp"
#include "serve/exchange_host.hpp"
#include "serve/server_health.hpp"
#include "serve/server_pool.hpp"
#include "serve/server_state.hpp"
#include "wire/router_report.hpp"
#include "wire/view_update.hpp"

namespace boragehill::decide {
struct server_candidate;
struct wait_state;
}  // namespace boragehill::decide

namespace boragehill::serve {

/// Finds a backend server for each request, or lets it wait for one. All of it
/// runs on the traffic loop's thread.
class dispatcher : public exchange_host {
 public:
  dispatcher(asio::io_context& context, const entry_settings& settings,
             const fleet::request_codec& codec, entry_metrics& metrics);

  void set_catalog(std::shared_ptr<const fleet::catalog> news);
  void set_servers(const fleet::server_list& list);

  /// The planner said which workers hold what.
  void on_view(const wire::view_update& update);
  void on_planner_lost();
  /// What the store holds of requests and parts that crash servers was read.
  void restore_quarantine(const fleet::quarantine_row& row);

  /// \return The demand since the last call, and the requests out now.
  decide::demand_report take_report();
  /// Adds what is to be told of streams that began, and asked of those that
  /// callers take up again.
  void add_streams(wire::router_report& report);
  /// Adds what is to be told of crashes since the last call.
  void add_crashes(wire::router_report& report);
  /// \return What servers said of rate limits since the last call, and the
  ///     tokens that waiting requests need.
  decide::rate_limit_report take_rate_limit_report();
  /// \return What the planner is told of the quotas of client accounts;
  ///     nothing if there are none.
  std::optional<decide::quota_report> take_quota_report();
  /// Sets what is called when a request begins to wait.
  void on_waiting(std::function<void()> told) { this->waits = std::move(told); }

  /// The process stops; late requests are refused from now on.
  void begin_stop(time_point until);
  /// The process ends: all that is still open gets its final answer now.
  void end_stop();
  /// Takes no request any more if none is open.
  /// \return False if one is.
  bool shut_if_idle();

  /// Refuses those that wait in vain; called some times a second.
  void judge_waiting();

  /// Doubts servers whose answers stand still and asks them whether they live;
  /// called some times a second.
  void watch_silence();

  /// Looks after connections that grow old; called every second or so.
  void tidy();

  bool knows_fleet() const {
    return this->known_catalog && this->servers_known;
  }
  /// \return Requests that wait for a server.
  std::size_t waiting() const;
  /// \return Requests that are at a server.
  std::size_t running() const;

  std::shared_ptr<const fleet::catalog> catalog() const override {
    return this->known_catalog;
  }
  const fleet::request_codec& codec() const override { return this->headers; }
  void place(const std::shared_ptr<exchange>& request) override;
  void withdraw(const exchange& request) override;
  void on_answer_head(const exchange& request,
                      const fleet::answer_fields& answer) override;
  void on_answering(const exchange& request) override;
  void on_heard(const exchange& request) override;
  void on_held_up(const exchange& request) override;
  void on_resumed(const exchange& request) override;
  bool lies_unread(const exchange& request) const override;
  void on_left(const exchange& request) override;
  void confirm_end(const std::shared_ptr<exchange>& request) override;
  void on_server_failed(const exchange& request, bool reached) override;
  void on_not_run(exchange& request) override;
  void on_model_missing(const exchange& request) override;
  void on_server_replaced(const exchange& request) override;
  milliseconds rest_left(const exchange& request) const override;
  bool take_repeat(const exchange& request) override;
  void on_finished(const exchange& request) override;

 private:
  /// Service, model and adapter.
  using demand_key = std::tuple<std::string, std::string, std::string>;
  /// Server, model and adapter.
  using flight_key = std::tuple<std::string, std::string, std::string>;
  using waiting_line = std::deque<std::shared_ptr<exchange>>;
  using line_map = std::map<demand_key, waiting_line>;
  /// The time in which the quota of an account rejects requests.
  struct exhausted_quota {
    time_point began;
    time_point last;
    int rejected = 0;
  };
  /// What a request is told that is not sent to any server.
  struct refusal {
    result_code code;
    const char* reason;
    milliseconds retry_after;
  };

  /// \return At which software version a stream that its caller takes up again
  ///     goes on.
  decide::version_binding binding_of(const exchange& request,
                                     time_point now) const;
  void bind_version(exchange& request, const decide::version_binding& bound,
                    time_point now);
  decide::planner_word planner_word_on(const std::string& stream) const;
  /// Decides it anew for the waiting requests that await the planner's word.
  void settle_versions();
  void on_stream_news(const wire::view_update& update, time_point now);
  /// \return True if not all servers of its service may get the request: it is
  ///     bound to a software version, and there are others.
  bool is_restricted(const exchange& request) const;
  /// Remembers at which software version a stream begins or goes on.
  void note_stream(const exchange& request, const std::string& software,
                   time_point now);
  /// Sends a request to a server, lets it wait for one, or refuses it.
  void seek_server(const std::shared_ptr<exchange>& request);
  /// Responses of a server whose ends have to be confirmed.
  struct end_probe {
    /// Since the first of them ended.
    time_point since;
    /// Those that the probe under way is for.
    std::vector<std::shared_ptr<exchange>> probed;
    /// Those that ended since it was sent.
    std::vector<std::shared_ptr<exchange>> next;
    bool is_under_way = false;
  };

  /// Takes up what the planner says of requests and parts of prompts that crash
  /// servers.
  void on_crash_news(const wire::view_update& update, time_point now);
  /// Quarantines requests and parts of prompts by own counts.
  void judge_crashes(time_point now);
  /// \return True if the request may crash servers, and other copies of it go
  ///     first.
  bool awaits_trial(const exchange& request, time_point now) const;
  void account_trial(const exchange& request, const server_state& server,
                     time_point now);
  /// \return The suspected requests of which copies wait, by fingerprint.
  std::vector<std::string> wanted_trials(time_point now) const;
  /// Clears a request with a complete response, and the parts of its prompt.
  void clear(const exchange& request);
  /// Forgets servers that are off the list once no request is there any more.
  void drop_unlisted();
  static demand_key key_of(const exchange& request);
  /// \return Why a request must not run, whatever servers there are; nothing
  ///     if it may. That may change while it waits.
  std::optional<refusal> barred(const exchange& request, time_point now) const;
  /// \return Why a request waits in vain; nothing if a server may take it in
  ///     time.
  std::optional<refusal> in_vain(const exchange& request, time_point now) const;
  /// \return False for a model or adapter that the configuration doesn't have:
  ///     nobody will ever hold it, and names that callers make up must not fill
  ///     the planner's memory.
  bool knows_model(const exchange& request) const;
  /// \return The server that should get the request; null if none has room.
  server_state* find_server(const exchange& request, time_point now);
  /// \return The server's load as the choice takes it.
  decide::server_candidate server_candidate_of(const server_state& server,
                                               const exchange& request,
                                               time_point now) const;
  /// \return Requests that the other routers have probably sent to the servers
  ///     of the service since the planner told of their load.
  double recent_arrivals(const std::string& service, time_point now) const;
  /// \return The work that the request brings, in usual milliseconds.
  static double work_of(const exchange& request);
  void on_work_sent(const exchange& request, server_state& server);
  void on_work_left(const exchange& request, server_state& server);
  /// \return False if there is no connection for it.
  bool send(const std::shared_ptr<exchange>& request, server_state& server,
            time_point now);
  bool try_send(const std::shared_ptr<exchange>& request);
  /// \return False if it must not run, would run for nobody, or would be cut
  ///     off by the end of this process.
  bool may_start(const exchange& request, time_point now);
  /// \param start When a server gets the request at the earliest.
  /// \return True if the end of this process would cut its answer off.
  bool would_be_cut(const exchange& request, time_point start) const;
  /// \return From a send to the end of the answer, at the most.
  milliseconds answer_time(const exchange& request, time_point now) const;
  /// Logs a send after the shutdown has begun.
  void log_sent_while_stopping(const exchange& request,
                               const std::string& server, time_point now) const;
  /// \return True if the server may get the request now.
  bool can_take(const server_state& server, const exchange& request,
                time_point now) const;
  /// \return True if only a rate limit may keep the request from the server.
  bool is_available(const server_state& server, const exchange& request,
                    time_point now) const;
  /// \return The servers that could take the request if it had a token.
  std::vector<std::string> limited_servers_for(const exchange& request,
                                               time_point now) const;
  /// \return Until a token for the request can be expected; 0 if it needs none.
  milliseconds rate_limit_wait(const exchange& request, time_point now) const;
  /// \return Requests that are before it in its line, or all if it is in none.
  std::size_t requests_ahead(const exchange& request) const;
  /// \return The name of the request's client account; null if it has no quota.
  const std::string* limited_account(const exchange& request) const;
  /// \return True if its client account's quota doesn't admit it now.
  bool lacks_quota(const exchange& request, time_point now);
  /// Takes the cost of a request that is sent.
  void charge_quota(exchange& request, time_point now);
  decide::quota_request quota_request_of(const exchange& request, double queued,
                                         time_point now) const;
  /// \param queued Cost of the account's requests that wait before it.
  /// \return Nothing if it may be sent or wait for tokens.
  std::optional<refusal> over_quota(const exchange& request, double queued,
                                    time_point now);
  /// \return Cost of the account's requests that wait here.
  double queued_cost(const std::string& account) const;
  /// Adds the waiting requests that their accounts' quotas reject.
  void judge_quotas(
      time_point now,
      std::vector<std::pair<std::shared_ptr<exchange>, refusal>>& refused);
  /// \return True if a server would take a request of the line that lacks
  ///     tokens of its account's quota.
  bool only_lacks_quota(const waiting_line& line, time_point now);
  void on_quota_news(const wire::view_update& update, time_point now);
  void use_local_quotas(time_point now);
  void end_exhausted_quotas(time_point now);
  /// \return True if it is one for the request and may get new ones at all.
  bool suits(const server_state& server, const exchange& request) const;
  /// \return The same, also for a server that has rejected the request.
  bool holds_what_it_needs(const server_state& server,
                           const exchange& request) const;
  /// \return True if the server's process may have ended, so that the request
  ///     would be lost there or sent in vain.
  bool may_be_gone(const server_state& server, const exchange& request,
                   time_point now) const;
  /// \return True if requests wait for what the server holds.
  bool is_awaited(const server_state& server) const;
  /// \return True if a waiting request may take a slot that the planner
  /// granted.
  bool can_use_grant(const server_state& server, const exchange& request,
                     time_point now);
  /// \return True if the server may get new requests, by all that is known.
  bool takes_new(const server_state& server) const;
  decide::response_progress* pulse_of(const exchange& request);
  void judge_silence(server_state& server, time_point now);
  /// The response to a request broke off at its server.
  void on_interrupted(const exchange& request, time_point now);
  /// Sends nothing before the loop has handled all that could be read by now:
  /// servers that end together would be tried one after the other.
  void pause_sending();
  /// \param by How it ended: the port is closed, or its time is over.
  void log_interruption_ended(const server_state& server, const char* by);
  /// Judges the requests at servers that left a question unanswered.
  void judge_silent_waits(time_point now);
  void judge_silent_wait(const std::shared_ptr<exchange>& request,
                         time_point now);
  /// \return True if it may leave its server, and another one takes it now.
  bool is_movable(const exchange& request, time_point now);
  /// \return The request as the judge of its waiting sees it.
  decide::wait_state waiting_of(const exchange& request, time_point now) const;
  using server_call_receiver = std::function<void(
      const result<http::whole_answer>&, http::call_failure)>;
  /// Makes a call to a server on a connection of its own.
  void call_server(const endpoint& address, const std::string& target,
                   milliseconds limit, server_call_receiver receive);
  void ask(server_state& server);
  /// Marks a server as replaced if another lifetime answered.
  /// \return False if one did.
  bool check_lifetime(server_state& server, const http::message_head& head);
  /// \param by What was answered: a request's attempt, or a question.
  void mark_replaced(server_state& server, const std::string& by);
  /// Takes up what a server says of itself in an answer.
  void take_notice(server_state& server, const fleet::answer_fields& answer,
                   const std::string& by);
  void take_rate_limit(const std::string& server,
                       const fleet::answer_fields& answer,
                       const std::string& by);
  /// Probes a server whose responses have ended.
  void probe_ends(const std::string& server);
  void probe_ends_later(const std::string& server);
  void on_ends_probed(const std::string& server, decide::probe_outcome outcome);
  /// Marks a server as replaced if another lifetime answered, by the id or by
  /// the start that the answer tells.
  bool is_answer_of(server_state& server, const http::whole_answer& answer);
  decide::probe_outcome outcome_of(const std::string& server,
                                   const result<http::whole_answer>& answer,
                                   http::call_failure failure);
  void on_question_ended(const std::string& server,
                         const result<http::whole_answer>& answer,
                         time_point asked);
  /// Silence during a pause of this process says nothing of any server.
  void excuse_own_pause(time_point now);
  /// \return False if no server is listed that could ever take the request.
  bool may_get_server(const exchange& request) const;
  std::size_t most_connections(const std::string& service) const;
  void drop_line(line_map::iterator line);
  void wait_in_line(const std::shared_ptr<exchange>& request);
  /// \return True if a granted retry waits for a server or for a credit.
  bool retry_waits() const;
  void serve_waiting();
  /// Serves one line after another.
  void serve_lines();
  /// Serves the waiting requests in one order over all lines.
  void serve_in_order();
  /// What became of a waiting request that a server was sought for.
  enum class line_step {
    sent,
    /// Others of its line may be sent.
    skipped,
    /// The whole line has to wait.
    waits
  };
  line_step offer_server(const std::shared_ptr<exchange>& request,
                         time_point now);
  /// \return The requests as they are to be sent.
  std::vector<std::shared_ptr<exchange>> ordered(
      std::vector<std::shared_ptr<exchange>> waiting, time_point now) const;
  static decide::waiting_candidate waiting_candidate_of(
      const exchange& request);
  /// \return The name of the request's client account; empty if it has none.
  static std::string account_name(const exchange& request);
  /// \return True if the configuration has client accounts.
  bool has_accounts() const;
  /// Sends waiting requests to the servers that the planner granted slots of.
  void use_grants(const std::vector<decide::slot_grant>& grants);
  /// \return True if a request was sent.
  bool use_grant(const decide::slot_grant& grant);
  /// \return True if the request may go to a server with room only with a grant
  ///     of the planner, since requests wait at other routers, too.
  bool awaits_grant(const exchange& request, time_point now);
  /// Uses the slot that a request of this router has left.
  void reuse_slot(const server_state& server);
  void serve_line(waiting_line& line);
  /// \param late Only those whose latency objective has passed, or only the
  ///     others.
  void serve_line(waiting_line& line, bool late);
  decide::windowed_retry_budget& budget_of(const std::string& service);
  /// \return The number of routers, for parts that are no promise.
  int assumed_routers(time_point now) const;
  /// \return False if the request is a retry that has to wait for a credit.
  bool may_send_retry(const exchange& request, time_point now);
  /// Takes the credit of a retry that is sent, and logs it.
  void account_retry(const exchange& request, const server_state& server,
                     time_point now);

  entry_settings settings;
  const fleet::request_codec& headers;
  entry_metrics& metrics;
  server_pool pool;
  server_health health;
  /// Of the failures only those of connections.
  server_health reachability;
  std::shared_ptr<const fleet::catalog> known_catalog;
  asio::io_context& context;
  std::map<std::string, server_state> servers;
  time_point silence_watched;
  bool servers_known = false;
  bool planner_linked = false;
  decide::router_count routers;
  time_point created = time_point::clock::now();
  line_map lines;
  /// Since when a server with room is seen, by line.
  std::map<demand_key, time_point> room_seen;
  /// Slots that a request of this router has just left; one of its waiting
  /// requests may follow without a grant.
  int own_free_slots = 0;
  /// The last round of grants that was received.
  std::uint64_t grant_round = 0;
  std::map<demand_key, int> arrivals;
  /// When models that are asked for will be there, as the planner said.
  std::map<std::string, time_point> expected;
  std::map<flight_key, int> flights;
  std::map<std::string, decide::windowed_retry_budget> budgets;
  std::function<void()> waits;
  decide::interruption_log interruptions;
  decide::suspect_guard crashing_requests{decide::own_request_settings};
  decide::suspect_guard prompt_parts;
  decide::trial_permits trials;
  /// A new planner hears of what is quarantined with the next report.
  bool tells_quarantined = false;
  decide::shutdown_gate gate;
  /// By service.
  std::map<std::string, decide::response_time_estimate> paces;
  decide::software_history software;
  decide::stream_origins streams;
  /// Those that the planner hasn't been told of.
  std::map<std::string, decide::stream_origin> new_streams;
  /// Streams that the planner said it doesn't know, while requests take them
  /// up.
  std::set<std::string> unknown_streams;
  std::map<std::string, end_probe> end_probes;
  decide::draining_servers leaving;
  decide::retry_after_servers resting;
  decide::rate_limited_servers rate_limited;
  decide::account_allowance quotas;
  decide::account_shares shares;
  /// Requests sent lately, by service.
  std::map<std::string, decide::decaying_sum> sent_rates;
  /// Of requests in usual milliseconds, by service.
  std::map<std::string, double> mean_works;
  std::map<std::string, exhausted_quota> exhausted_quotas;
  bool serving = false;
  bool sending_paused = false;
};

}  // namespace boragehill::serve

#endif  // BORAGEHILL_SERVE_DISPATCHER_HPP
