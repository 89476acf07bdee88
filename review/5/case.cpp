// The store comes back from an older copy, as in a drill. The agent of a worker
// was started shortly before and is stopped and started again shortly after.

#include <atomic>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "../common/fleet.hpp"
#include "../common/worker.hpp"

namespace {

using namespace review;

constexpr auto service = "assist";
constexpr auto plain_service = "sheets";
constexpr auto worker_id = "i-worker";
constexpr int models = 6;
constexpr int places = 3;
constexpr double model_mb = 72700;
constexpr int load_ms = 200;
constexpr int plain_servers = 12;
constexpr int ping_ms = 1200;
constexpr int copy_age_ms = 4000;
constexpr int away_ms = 400;
constexpr int before_start_ms = 6000;
constexpr int start_to_drill_ms = 1800;
constexpr int drill_to_stop_ms = 300;
constexpr int after_ms = 8000;

std::string model_name(int number) {
  return "model-" + std::to_string(number);
}

/// A model worker that carries out orders and doesn't check fences.
class worker {
 public:
  worker(const address& at, const record& log)
      : at(at),
        log(log),
        born(std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()) {
    this->held.insert(model_name(1));
  }

  Json::Value entry() {
    const std::scoped_lock lock(this->mutex);
    auto shown = server_entry(service, this->at, 64);
    shown["stage"] = "mixed";
    shown["born"] = Json::Int64(this->born);
    shown["seq"] = Json::Int64(this->sequence);
    shown["models"] = this->models_shown();
    return shown;
  }

  void serve_caller(connection& from) {
    while (const auto request = read_message(from, true)) {
      if (answer_health(from, *request, worker_id)) continue;
      if (request->second == "/report") {
        from.write(answer_text(200,
                               {{"Boragehill-Instance-Id", worker_id},
                                {"Content-Type", "application/json"}},
                               this->report()));
      } else if (request->second == "/order") {
        from.write(answer_text(this->take_order(*request), {}, ""));
      } else if (!this->generate(from, *request)) {
        return;
      }
    }
  }

 private:
  Json::Value models_shown() const {
    Json::Value list(Json::arrayValue);
    for (const auto& name : this->held) {
      Json::Value model;
      model["name"] = name;
      model["version"] = 1;
      model["adapters"] = Json::Value(Json::arrayValue);
      list.append(model);
    }
    return list;
  }

  std::string report() {
    const std::scoped_lock lock(this->mutex);
    Json::Value shown;
    shown["stage"] = "mixed";
    shown["models"] = this->models_shown();
    shown["busy"] = this->busy;
    shown["seq"] = Json::Int64(this->sequence);
    shown["born"] = Json::Int64(this->born);
    shown["waiting"] = 0;
    shown["running"] = 0;
    shown["kvUsed"] = 0;
    shown["kvTotal"] = 165548;
    shown["handles"] = 0;
    for (int each = 1; each <= models; ++each) {
      shown["atHand"]["inMemory"].append(model_name(each));
    }
    return to_json(shown);
  }

  int take_order(const message& request) {
    const auto order = from_json(request.body);
    const std::scoped_lock lock(this->mutex);
    if (request.header("Boragehill-Expect-Instance") != worker_id) return 421;
    if (!order.isMember("holder") || !order.isMember("fence")) return 400;
    const bool is_next = !order.isMember("expected") ||
                         order["expected"].asInt64() == this->sequence;
    const auto name = order["model"].asString();
    this->log.note("worker gets order " + order["op"].asString() + " " + name +
                   " holder " + order["holder"].asString() + " fence " +
                   std::to_string(order["fence"].asInt64()));
    if (!is_next || this->busy) return 409;
    ++this->sequence;
    if (order["op"].asString() == "unload") {
      this->held.erase(name);
      return 202;
    }
    this->busy = true;
    std::thread([this, name] {
      sleep_ms(load_ms);
      const std::scoped_lock finished(this->mutex);
      this->held.insert(name);
      this->busy = false;
    }).detach();
    return 202;
  }

  bool generate(connection& from, const message& request) {
    const auto attempt = request.header("Boragehill-Attempt-Id");
    bool is_held = false;
    {
      const std::scoped_lock lock(this->mutex);
      is_held = this->held.contains(request.header("Boragehill-Model"));
    }
    if (!is_held) {
      return from.write(answer_text(421,
                                    {{"Boragehill-Attempt-Id", attempt},
                                     {"Boragehill-Instance-Id", worker_id}},
                                    ""));
    }
    sleep_ms(30);
    return from.write(answer_text(200,
                                  {{"Boragehill-Attempt-Id", attempt},
                                   {"Boragehill-Response-Stamp", worker_id},
                                   {"Content-Type", "text/event-stream"}},
                                  "id: 1\ndata: done\n\n"));
  }

  address at;
  const record& log;
  std::int64_t born;
  std::mutex mutex;
  std::set<std::string> held;
  std::int64_t sequence = 0;
  bool busy = false;
};

Json::Value drill_configuration() {
  auto config = configuration(plain_service);
  auto assist = configuration(service)["services"][0];
  auto& engine = assist["engine"];
  engine["weightsMb"] = model_mb * places + 1000;
  engine["adapterSlots"] = 8;
  engine["slots"] = 64;
  engine["kvTokens"] = 165548;
  engine["loadsPerS"] = 2.4;
  for (int each = 1; each <= models; ++each) {
    Json::Value known;
    known["name"] = model_name(each);
    known["weightsMb"] = model_mb;
    known["loadS"] = 6;
    known["diskS"] = 1.3;
    known["warmS"] = 0.2;
    known["adapters"] = 0;
    known["adapterMb"] = 66;
    engine["models"].append(known);
  }
  config["services"].append(assist);
  auto ask = route("ask", "/ask/", "stream", service, 1, 6000, 2000);
  ask["gapAimMs"] = 250;
  config["routes"].append(ask);
  return config;
}

/// Asks for one model after the other, so that the worker has to change them.
void run_client(const address& front, const std::string& name, int first,
                const std::atomic<bool>& stopped, const record& log) {
  for (int number = 0; !stopped; ++number) {
    const auto attempt = name + "-" + std::to_string(number);
    connection to(connect_to(front));
    to.set_limit(7000);
    to.write(request_text(
        "POST", "/ask/" + attempt, attempt, 6000,
        {{"Boragehill-Model", model_name(1 + (first + number) % models)},
         {"Boragehill-Token-Count", "400,80"},
         {"Boragehill-Prompt-Prefix", "5c1e07a2:400"}},
        "Which spool?"));
    const auto answer = read_message(to, false);
    log.note("client got " + attempt + " status " +
             (answer ? answer->second : "none"));
    sleep_ms(150);
  }
}

/// \return How often an order bore a lower fence than one before it.
int count_lower_fences(const std::string& path, int& orders) {
  std::int64_t highest = 0;
  int lower = 0;
  for (const auto& line : lines_of(path)) {
    const auto at = line.find(" fence ");
    if (line.find("worker gets order") == std::string::npos) continue;
    ++orders;
    const auto fence = std::atoll(line.c_str() + at + 7);
    if (fence < highest) ++lower;
    highest = std::max<std::int64_t>(highest, fence);
  }
  return lower;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return not_run;
  const record log(argv[2], true);
  fleet small(argv[1], 3 + plain_servers);
  constexpr int router = 1;
  constexpr int side = 2;
  const auto at = small.app(side);
  small.platform().put("op", "config", drill_configuration());
  // The worker runs in this process, since it writes its entry to the store.
  worker model_worker(at, log);
  listen_or_give_up(at,
                    [&](connection& from) { model_worker.serve_caller(from); });
  for (int each = 0; each < plain_servers; ++each) {
    const auto id = "i-sheets-" + std::to_string(each);
    listen_or_give_up(small.app(side + 1 + each), [id](connection& from) {
      while (const auto request = read_message(from, true)) {
        if (!answer_health(from, *request, id)) return;
      }
    });
  }
  std::atomic<bool> stopped = false;
  std::thread pings([&] {
    for (int round = 0; !stopped; ++round) {
      const int number = round % (plain_servers + 1);
      if (number == plain_servers) {
        small.platform().ping("servers", worker_id, model_worker.entry());
      } else {
        small.platform().ping(
            "servers", "i-sheets-" + std::to_string(number),
            server_entry(plain_service, small.app(side + 1 + number), 6));
      }
      sleep_ms(ping_ms / (plain_servers + 1));
    }
  });
  small.start_router(router);
  small.await_ready(router);
  sleep_ms(before_start_ms);

  std::vector<std::thread> clients;
  for (int each = 0; each < 4; ++each) {
    clients.emplace_back([&, each] {
      run_client(small.front(router), "ask-" + std::to_string(each), each,
                 stopped, log);
    });
  }
  log.note("the agent starts");
  small.start_agent(side, service);
  sleep_ms(start_to_drill_ms);
  if (has_trouble()) {
    log.note("the store goes away at version " +
             std::to_string(small.platform().newest_version()));
    small.platform().restore(copy_age_ms, away_ms);
    log.note("the store is back at version " +
             std::to_string(small.platform().newest_version()));
  } else {
    sleep_ms(away_ms);
  }
  sleep_ms(drill_to_stop_ms);
  const auto agent = "agent-" + std::to_string(side);
  log.note("the agent gets SIGTERM");
  small.send_signal(agent, SIGTERM);
  while (!small.has_ended(agent)) sleep_ms(5);
  log.note("the agent starts again");
  small.start_agent(side, service);
  sleep_ms(after_ms);
  stopped = true;
  for (auto& each : clients) each.join();
  pings.join();

  int orders = 0;
  const int lower = count_lower_fences(argv[2], orders);
  log.note("orders " + std::to_string(orders) + ", with a lower fence than " +
           "one before " + std::to_string(lower));
  if (orders == 0) give_up("the worker got no order");
  return lower > 0 ? rule_broken : rule_held;
}
