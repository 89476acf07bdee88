// What the dispatcher does about streams that callers take up again.

#include <memory>
#include <utility>
#include <vector>

#include "decide/stream_resumption.hpp"
#include "kernel/event_log.hpp"
#include "serve/dispatcher.hpp"
#include "serve/exchange.hpp"

namespace boragehill::serve {

namespace {

/// A caller that is slow to notice may take a stream up so long after its time
/// limit.
constexpr milliseconds after_limit{5000};
/// Names of attempts are shorter; longer ones would fill the memory.
constexpr std::size_t longest_name = 128;

/// \return For how long a caller may take a stream of the route up again.
milliseconds lifetime_of_streams(const fleet::route& route) {
  return route.timeout + after_limit;
}

/// \return The name of the stream that a response belongs to; empty if its
///     caller gave none.
const std::string& stream_of(const exchange& request) {
  const auto& asked = request.fields();
  return request.takes_up_stream() ? asked.resumed_attempt : asked.attempt;
}

const char* name_of(const decide::version_binding& bound) {
  if (decide::is_awaited(bound)) return "asked";
  return decide::is_unknown(bound) ? "unknown" : "bound";
}

}  // namespace

decide::version_binding dispatcher::binding_of(const exchange& request,
                                               time_point now) const {
  const auto& stream = request.fields().resumed_attempt;
  const auto origin = this->streams.find(stream, now);
  // The route led to another service when the stream began.
  if (origin && !request.may_use(origin->service)) {
    return decide::unknown_version{};
  }
  decide::stream_resumption known{
      .is_named = !stream.empty(),
      .planner = this->planner_word_on(stream),
      .waited = milliseconds(ms_between(request.request().received, now))};
  if (origin) known.origin = origin->software;
  if (request.route()->targets.size() == 1) {
    const auto since = now - lifetime_of_streams(*request.route());
    known.sole_version = this->software.sole_version(request.service(), since);
    known.is_history_known = this->software.covers(since);
  }
  return decide::bind_version(known);
}

void dispatcher::bind_version(exchange& request,
                              const decide::version_binding& bound,
                              time_point now) {
  const auto& stream = request.fields().resumed_attempt;
  const auto origin = this->streams.find(stream, now);
  if (origin && !decide::is_unknown(bound)) {
    request.use_service(origin->service);
  }
  request.bind(bound);
  kernel::log_event(
      kernel::event::stream_taken_up,
      {{"request", request.fields().attempt},
       {"resumes", stream},
       {"last_event", request.fields().last_event.value_or("")},
       {"step", name_of(bound)},
       {"service", request.service()},
       {"software", decide::bound_software(bound)},
       {"known", origin.has_value()},
       {"planner", this->planner_linked},
       {"waited_ms", ms_between(request.request().received, now)}});
}

decide::planner_word dispatcher::planner_word_on(
    const std::string& stream) const {
  if (!this->planner_linked) return decide::planner_word::unlinked;
  return this->unknown_streams.contains(stream) ? decide::planner_word::unknown
                                                : decide::planner_word::awaited;
}

void dispatcher::settle_versions() {
  std::vector<std::shared_ptr<exchange>> awaiting;
  for (const auto& [key, line] : this->lines) {
    for (const auto& each : line) {
      if (decide::is_awaited(each->versions())) awaiting.push_back(each);
    }
  }
  const auto now = time_point::clock::now();
  for (const auto& each : awaiting) {
    const auto bound = this->binding_of(*each, now);
    if (decide::is_awaited(bound)) continue;
    // It may go on at another service, and wait in that one's line.
    this->withdraw(*each);
    this->bind_version(*each, bound, now);
    this->seek_server(each);
  }
  this->unknown_streams.clear();
}

void dispatcher::on_stream_news(const wire::view_update& update,
                                time_point now) {
  for (const auto& [stream, origin] : update.streams) {
    this->streams.record(stream, origin, now);
  }
  this->unknown_streams.insert(update.unknown_streams.begin(),
                               update.unknown_streams.end());
  if (update.tells_of_streams()) this->settle_versions();
}

void dispatcher::note_stream(const exchange& request,
                             const std::string& software, time_point now) {
  const auto& route = *request.route();
  const auto& stream = stream_of(request);
  const bool has_name = !stream.empty() && stream.size() <= longest_name;
  if (!route.is_resumable_stream() || !has_name) return;
  const decide::stream_origin origin{.service = request.service(),
                                     .software = software,
                                     .lifetime = lifetime_of_streams(route)};
  if (!this->streams.record(stream, origin, now)) {
    kernel::log_event(
        kernel::event::ring_full,
        {{"ring", "streams"}, {"capacity", decide::stream_origins::capacity}});
    return;
  }
  // A planner that is linked later is told of all.
  if (!this->planner_linked) return;
  this->new_streams[stream] = origin;
  // A caller may take it up at another router as soon as its first event came.
  const bool is_urgent = !this->software.sole_version(request.service(), now);
  if (is_urgent && this->waits) this->waits();
}

bool dispatcher::is_restricted(const exchange& request) const {
  const auto& versions = request.versions();
  if (!decide::is_bound(versions)) return false;
  const auto sole =
      this->software.sole_version(request.service(), time_point::clock::now());
  return !sole || !decide::allows(versions, *sole);
}

void dispatcher::add_streams(wire::router_report& report) {
  report.streams = std::exchange(this->new_streams, {});
  for (const auto& [key, line] : this->lines) {
    for (const auto& each : line) {
      if (!decide::is_awaited(each->versions())) continue;
      report.wanted_streams.push_back(each->fields().resumed_attempt);
    }
  }
}

}  // namespace boragehill::serve
