// What the dispatcher learns from the heads of servers' answers.

#include "fleet/request_codec.hpp"
#include "kernel/event_log.hpp"
#include "serve/dispatcher.hpp"
#include "serve/exchange.hpp"

namespace boragehill::serve {

namespace {

/// Logs an answer that isn't the request's, or says that it didn't run.
void log_unusual_answer(const exchange& request,
                        const fleet::answer_fields& answer) {
  const bool is_own = request.is_answered_by(answer);
  if (is_own && !answer.not_run) return;
  kernel::log_event(
      is_own ? kernel::event::rejection_read : kernel::event::answer_skipped,
      {{"request", request.fields().attempt},
       {"server", request.server()},
       {"named", answer.attempt},
       {"misdirected", answer.misdirected},
       {"rest_ms", answer.rest ? answer.rest->count() : 0},
       {"sends", request.sends().attempt_count()},
       {"on_connection", request.connection_requests()}});
}

}  // namespace

void dispatcher::on_answer_head(const exchange& request,
                                const fleet::answer_fields& answer) {
  log_unusual_answer(request, answer);
  const auto found = this->servers.find(request.server());
  if (found == this->servers.end()) return;
  this->take_notice(found->second, answer, request.fields().attempt);
}

void dispatcher::take_notice(server_state& server,
                             const fleet::answer_fields& answer,
                             const std::string& by) {
  const auto& id = server.entry.id;
  const bool other_lifetime =
      !answer.server.empty() && !this->headers.is_server(answer.server, id);
  if (other_lifetime) return;
  if (answer.leaving && this->leaving.add(id)) {
    kernel::log_event(kernel::event::server_leaving,
                      {{"server", id},
                       {"by", "answer"},
                       {"request", by},
                       {"listed", server.listed},
                       {"list_says", server.entry.draining}});
  }
  this->take_rate_limit(id, answer, by);
  const auto now = time_point::clock::now();
  if (answer.pace && answer.running && answer.waiting) {
    server.load.on_figures({.running = *answer.running,
                            .waiting = *answer.waiting,
                            .pace = *answer.pace},
                           static_cast<int>(server.requests.size()), now);
  }
  if (!answer.rest) return;
  if (this->resting.on_retry_after(id, now + *answer.rest, now)) {
    kernel::log_event(
        kernel::event::server_rests,
        {{"server", id}, {"request", by}, {"rest_ms", answer.rest->count()}});
  }
}

}  // namespace boragehill::serve
