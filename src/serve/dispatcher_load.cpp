// What the dispatcher knows of the load of servers, and the choice among them.

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "decide/request_work.hpp"
#include "decide/server_candidate.hpp"
#include "decide/server_choice.hpp"
#include "kernel/random.hpp"
#include "serve/dispatcher.hpp"
#include "serve/exchange.hpp"

namespace boragehill::serve {

namespace {

/// A plain server runs about this many requests at once if it doesn't say.
constexpr int assumed_slots = 8;
/// What the planner tells of other routers' requests is up to this old: it is
/// the interval of the routers' reports.
constexpr double news_age_s = 0.1;
/// In which the rate of sends is counted.
constexpr milliseconds rate_time{1000};
/// Of one request in the mean work.
constexpr double mean_weight = 0.02;

}  // namespace

decide::server_candidate dispatcher::server_candidate_of(
    const server_state& server, const exchange& request, time_point now) const {
  const auto& id = server.entry.id;
  const int slots = server.entry.slots;
  decide::server_candidate candidate{
      .own_requests = static_cast<int>(server.requests.size()),
      .other_requests = server.other_requests,
      .prompt_backlog_tokens =
          server.silence.responses().prompt_backlog_tokens(),
      .slots = slots > 0 ? slots : assumed_slots,
      .local = server.entry.failure_domain == this->settings.failure_domain,
      .suspected = this->health.suspect(id, now) ||
                   request.sends().was_interrupted_by(id)};
  if (!server.load.has_pace()) {
    candidate.expected_work = candidate.own_requests + candidate.other_requests;
    return candidate;
  }
  candidate.other_requests =
      server.load.other_requests(now).value_or(candidate.other_requests);
  candidate.pace = server.load.pace(now);
  const auto mean = this->mean_works.find(request.service());
  const double own = mean == this->mean_works.end()
                         ? candidate.own_requests
                         : server.own_work / mean->second;
  candidate.expected_work = own + candidate.other_requests;
  return candidate;
}

server_state* dispatcher::find_server(const exchange& request, time_point now) {
  std::vector<decide::server_candidate> candidates;
  std::vector<server_state*> states;
  bool by_work = false;
  std::size_t of_service = 0;
  this->excuse_own_pause(now);
  for (auto& [id, state] : this->servers) {
    if (state.entry.service != request.service()) continue;
    ++of_service;
    this->judge_silence(state, now);
    if (!this->can_take(state, request, now)) continue;
    candidates.push_back(this->server_candidate_of(state, request, now));
    by_work = by_work || candidates.back().pace > 0;
    states.push_back(&state);
  }
  const int routers = this->assumed_routers(now);
  const int most_unread =
      this->settings.unread.router_limit(request.is_late(now), routers);
  const double queue_share = this->settings.queue_share;
  const auto random = kernel::random_bits();
  const auto chosen =
      by_work ? decide::choose_by_work(
                    candidates, queue_share, most_unread, random,
                    this->recent_arrivals(request.service(), now) *
                        static_cast<double>(candidates.size()) /
                        static_cast<double>(of_service))
              : decide::choose_server(candidates, queue_share, most_unread,
                                      random, decide::view_error_of(routers));
  return chosen ? states[*chosen] : nullptr;
}

double dispatcher::recent_arrivals(const std::string& service,
                                   time_point now) const {
  const auto rate = this->sent_rates.find(service);
  if (rate == this->sent_rates.end()) return 0;
  const auto others = this->assumed_routers(now) - 1;
  return rate->second.per_second(now) * others * news_age_s;
}

double dispatcher::work_of(const exchange& request) {
  const auto& asked = request.fields();
  return decide::request_work{
      .prompt_tokens = asked.prompt_tokens,
      .output_tokens = asked.output_hint.value_or(asked.output_tokens)}
      .usual_time();
}

void dispatcher::on_work_sent(const exchange& request, server_state& server) {
  if (!server.load.has_pace()) return;
  const double work = work_of(request);
  server.own_work += work;
  const auto& service = request.service();
  const auto mean = this->mean_works.try_emplace(service, work).first;
  mean->second += mean_weight * (work - mean->second);
  this->sent_rates.try_emplace(service, rate_time)
      .first->second.add(1, time_point::clock::now());
}

void dispatcher::on_work_left(const exchange& request, server_state& server) {
  server.own_work = server.requests.empty()
                        ? 0
                        : std::max(server.own_work - work_of(request), 0.0);
}

}  // namespace boragehill::serve
