#include "standin/worker_standin.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <utility>

#include "kernel/json_text.hpp"
#include "standin/standin_server.hpp"
#include "standin/standin_settings.hpp"

namespace boragehill::standin {

namespace {

constexpr int ok_status = 200;
constexpr int accepted_status = 202;
constexpr int bad_status = 400;
constexpr int conflict_status = 409;
constexpr int misdirected_status = 421;
constexpr int failed_status = 500;
constexpr int unavailable_status = 503;
constexpr int events_of_a_stream = 8;
constexpr int crash_status = 86;
/// The events of streams below it name the software that wrote them.
constexpr auto signed_prefix = "/stream/r/signed/";

std::pair<std::string, std::string> split_model(const std::string& text) {
  const auto slash = text.find('/');
  if (slash == std::string::npos) return {text, {}};
  return {text.substr(0, slash), text.substr(slash + 1)};
}

/// Writes the events of a stream.
class event_writer {
 public:
  /// \param data What each event holds.
  /// \param last The id of the last event that the caller has.
  /// \param most How many events are written at most.
  /// \param cut Half of one more follows.
  /// \param crashes The process ends in place of the first one.
  /// \param on_begun Called when the first event is written.
  event_writer(std::string data, int last, int most, bool cut, bool crashes,
               std::chrono::milliseconds gap, std::function<void()> on_begun)
      : data(std::move(data)),
        made(last),
        left(most),
        cut(cut),
        crashes(crashes),
        gap(gap),
        on_begun(std::move(on_begun)) {}

  /// Writes one event.
  /// \return False if the stream is over.
  bool write(httplib::DataSink& sink) {
    const bool over = this->left == 0;
    if (this->made == events_of_a_stream || (over && !this->cut)) return false;
    ++this->made;
    --this->left;
    std::string event =
        "id: " + std::to_string(this->made) + "\ndata: " + this->data + "\n\n";
    if (over) event.resize(event.size() / 2);
    std::this_thread::sleep_for(this->gap);
    if (this->crashes) std::_Exit(crash_status);
    const bool written = sink.write(event.data(), event.size());
    if (written && !over && this->on_begun) {
      std::exchange(this->on_begun, nullptr)();
    }
    return written && !over;
  }

 private:
  std::string data;
  int made;
  int left;
  bool cut;
  bool crashes;
  std::chrono::milliseconds gap;
  std::function<void()> on_begun;
};

}  // namespace

worker_standin::worker_standin(const standin_settings& settings,
                               standin_server& server)
    : faults(server.faults()),
      id(settings.id),
      service(settings.service_name),
      software(settings.software),
      address(settings.advertise.empty()
                  ? settings.address + ":" + std::to_string(settings.port)
                  : settings.advertise),
      store(settings.store),
      load_ms(settings.load_disk.count()),
      delay_ms(settings.delay.count()),
      places(settings.disk_checkpoints),
      on_disk(settings.cached_disk),
      tells_start(settings.tells_start),
      born(std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()) {
  for (const auto& each : settings.cached_memory) this->models[each];
  server.on_arrival([this](const auto& request) {
    if (request.has_header("Boragehill-Attempt-Id"))
      this->note_arrival(request);
  });
  server.on_crash([this](const auto& request) {
    this->note("crashed", request.get_header_value("Boragehill-Attempt-Id"));
  });
  server.on("GET", "/report",
            [this](const auto&, auto& response) { this->report(response); });
  server.on("GET", "/healthz", [this](const auto&, auto& response) {
    if (this->faults.loses_checks()) return lose(response);
    response.set_header("Boragehill-Instance-Id", this->id);
    response.status = ok_status;
  });
  server.on("POST", "/order", [this](const auto& request, auto& response) {
    this->order(request, response);
  });
  server.on("POST", "/stream/.*", [this](const auto& request, auto& response) {
    this->stream(request, response);
  });
  for (const char* path : {"/plain/.*", "/lookup/.*"}) {
    server.on("POST", path, [this](const auto& request, auto& response) {
      this->run(request, response);
    });
  }
  server.on_control("/standin/drain", [this](const auto&, auto& response) {
    {
      const std::scoped_lock lock(this->mutex);
      this->draining = true;
    }
    this->register_self();
    reply(response, ok_status, Json::Value(Json::objectValue));
  });
  server.on_truth([this] { return this->truth(); });
  this->register_after(settings.register_delay);
}

worker_standin::~worker_standin() {
  for (auto& each : this->work) each.join();
}

void worker_standin::register_after(std::chrono::milliseconds delay) {
  if (delay.count() == 0) return this->register_self();
  this->work.emplace_back([this, delay] {
    std::this_thread::sleep_for(delay);
    this->register_self();
  });
}

Json::Value worker_standin::models_shown() const {
  Json::Value list(Json::arrayValue);
  for (const auto& [name, adapters] : this->models) {
    Json::Value model;
    model["name"] = name;
    model["version"] = 1;
    model["adapters"] = Json::Value(Json::arrayValue);
    for (const auto& each : adapters) model["adapters"].append(each);
    list.append(model);
  }
  return list;
}

void worker_standin::register_self() {
  Json::Value entry;
  {
    const std::scoped_lock lock(this->mutex);
    entry["service"] = this->service;
    entry["addr"] = this->address;
    entry["zone"] = "zone-1";
    entry["version"] = this->software;
    entry["slots"] = 8;
    entry["state"] = this->draining ? "draining" : "ready";
    entry["seq"] = Json::Int64(this->sequence);
    if (this->tells_start) entry["born"] = Json::Int64(this->born);
    entry["models"] = this->models_shown();
    for (const auto& each : this->on_disk) {
      entry["atHand"]["onDisk"].append(each);
    }
  }
  Json::Value call;
  call["table"] = "servers";
  call["key"] = this->id;
  call["value"] = absl::Base64Escape(kernel::write_json(entry));
  httplib::Client client("http://" + this->store);
  client.Post("/standin/put", kernel::write_json(call), "application/json");
}

bool worker_standin::refuses(const httplib::Request& request,
                             httplib::Response& response) {
  const std::string meant =
      request.get_header_value("Boragehill-Expect-Instance");
  const auto [model, adapter] =
      split_model(request.get_header_value("Boragehill-Model"));
  const auto held = this->models.find(model);
  const auto rest = this->faults.shed_rest();
  if (rest) {
    ++this->turned_away;
    response.status = unavailable_status;
    response.set_header("Boragehill-Not-Run", "1");
    response.set_header(
        "Retry-After",
        std::to_string(std::chrono::duration<double>(*rest).count()));
    return true;
  }
  const bool there =
      model.empty() || (held != this->models.end() &&
                        (adapter.empty() || held->second.contains(adapter)));
  if (meant == this->id && there) return false;
  response.status = misdirected_status;
  response.set_header("Boragehill-Instance-Id", this->id);
  return true;
}

void worker_standin::note(const char* what, const std::string& attempt,
                          const std::string& more) const {
  // In the log it outlives this process.
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  std::printf(
      "%s %s %lld %s %s %s\n", what, attempt.c_str(),
      static_cast<long long>(
          std::chrono::duration_cast<std::chrono::milliseconds>(now).count()),
      this->service.c_str(), this->software.c_str(), more.c_str());
  std::fflush(stdout);
}

void worker_standin::note_arrival(const httplib::Request& request) const {
  this->note("arrived", request.get_header_value("Boragehill-Attempt-Id"),
             request.get_header_value("Boragehill-Deadline-Ms"));
}

void worker_standin::note_run(const std::string& attempt) {
  ++this->runs[attempt];
  this->note("ran", attempt);
}

void worker_standin::run(const httplib::Request& request,
                         httplib::Response& response) {
  const std::string attempt = request.get_header_value("Boragehill-Attempt-Id");
  response.set_header("Boragehill-Attempt-Id", attempt);
  {
    const std::scoped_lock lock(this->mutex);
    if (this->refuses(request, response)) return;
    this->note_run(attempt);
    ++this->running;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(this->delay_ms));
  response.set_header("Seen-Account",
                      request.get_header_value("Boragehill-Tenant"));
  response.set_header("Seen-Key", request.get_header_value("Authorization"));
  response.set_header("Boragehill-Response-Stamp", this->id);
  if (this->faults.take_failed_run()) {
    response.status = failed_status;
    response.set_content("failed", "text/plain");
  } else {
    response.set_content("plain answer to " + request.body, "text/plain");
  }
  const std::scoped_lock lock(this->mutex);
  --this->running;
}

void worker_standin::stream(const httplib::Request& request,
                            httplib::Response& response) {
  const std::string attempt = request.get_header_value("Boragehill-Attempt-Id");
  response.set_header("Boragehill-Attempt-Id", attempt);
  {
    const std::scoped_lock lock(this->mutex);
    if (this->refuses(request, response)) return;
    this->note_run(attempt);
  }
  response.set_header("Boragehill-Response-Stamp", this->id);
  const auto gap =
      std::chrono::milliseconds(this->delay_ms) + this->faults.event_delay();
  int last = 0;
  if (!absl::SimpleAtoi(request.get_header_value("Last-Event-Id"), &last)) {
    last = 0;
  }
  constexpr int events_before_cut = 3;
  const bool empty = this->faults.empties_streams();
  const bool cut = !empty && this->faults.take_cut_stream();
  const int most = empty ? 0 : cut ? events_before_cut : events_of_a_stream;
  const bool crashes = this->faults.crashes_on(
      request.get_header_value("Boragehill-Prompt-Prefix"));
  const bool is_signed = request.path.starts_with(signed_prefix);
  const auto data = is_signed ? attempt + " " + this->software : attempt;
  event_writer writer(data, last, most, cut, crashes, gap,
                      [this, attempt] { this->note("began", attempt); });
  const std::string type = "text/event-stream";
  if (this->faults.unframes()) {
    // The library closes the connection of a provider that fails.
    response.set_content_provider(
        type, [writer](std::size_t, httplib::DataSink& sink) mutable {
          return writer.write(sink);
        });
    return;
  }
  response.set_chunked_content_provider(
      type, [writer](std::size_t, httplib::DataSink& sink) mutable {
        if (!writer.write(sink)) sink.done();
        return true;
      });
}

void worker_standin::order(const httplib::Request& request,
                           httplib::Response& response) {
  const auto call = body_of(request);
  const std::string op = call["op"].asString();
  const std::string model = call["model"].asString();
  const std::string adapter = call["adapter"].asString();
  const std::scoped_lock lock(this->mutex);
  if (!call.isMember("holder") || !call.isMember("fence")) {
    response.status = bad_status;
    return;
  }
  if (request.get_header_value("Boragehill-Expect-Instance") != this->id) {
    response.status = misdirected_status;
    return;
  }
  const bool expected = !call.isMember("expected") ||
                        call["expected"].asInt64() == this->sequence;
  if (!expected || (this->busy && adapter.empty())) {
    response.status = conflict_status;
    return;
  }
  this->holders.insert(call["holder"].asString());
  const auto fence = call["fence"].asInt64();
  if (fence < this->highest_fence) ++this->lowered_fences;
  this->highest_fence = std::max(this->highest_fence, fence);
  ++this->sequence;
  response.status = accepted_status;
  if (!adapter.empty()) {
    auto& held = this->models[model];
    if (op == "load") {
      held.insert(adapter);
    } else {
      held.erase(adapter);
    }
    return;
  }
  if (op == "load" && this->models.size() >= this->places) {
    ++this->overcommitted;
  }
  this->busy = true;
  this->work.emplace_back([this, op, model] { this->carry_out(op, model); });
}

void worker_standin::carry_out(const std::string& op,
                               const std::string& model) {
  const bool loads = op == "load";
  if (loads) {
    std::this_thread::sleep_for(std::chrono::milliseconds(this->load_ms) +
                                this->faults.load_delay());
  }
  {
    const std::scoped_lock lock(this->mutex);
    if (loads) {
      this->models[model];
    } else {
      this->models.erase(model);
    }
    this->busy = false;
  }
  this->register_self();
}

void worker_standin::report(httplib::Response& response) {
  const std::scoped_lock lock(this->mutex);
  Json::Value body;
  body["stage"] = "mixed";
  body["models"] = this->models_shown();
  body["busy"] = this->busy;
  body["seq"] = Json::Int64(this->sequence);
  if (this->tells_start) body["born"] = Json::Int64(this->born);
  body["waiting"] = 0;
  body["running"] = this->running;
  for (const auto& each : this->on_disk) body["atHand"]["onDisk"].append(each);
  reply(response, ok_status, body);
}

Json::Value worker_standin::truth() {
  const std::scoped_lock lock(this->mutex);
  Json::Value told;
  told["runs"] = Json::Value(Json::objectValue);
  for (const auto& [attempt, count] : this->runs) told["runs"][attempt] = count;
  told["overcommitted"] = this->overcommitted;
  told["turned_away"] = this->turned_away;
  told["holders"] = Json::UInt64(this->holders.size());
  told["lowered_fences"] = this->lowered_fences;
  told["models"] = this->models_shown();
  return told;
}

}  // namespace boragehill::standin
