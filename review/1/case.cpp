// A server that is full turns requests away and asks for a short rest. It is
// faulty too: a few of its answers come a second time, late, at the point where
// the next answer on their connection is expected.

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "../common/fleet.hpp"
#include "../common/worker.hpp"

namespace {

using namespace review;

constexpr auto service = "sheets";
constexpr auto other_service = "links";
constexpr int slots = 2;
constexpr int queue = 1;
constexpr int work_ms = 60;
constexpr auto rest_s = "0.2";
/// The part of the answers that come twice.
constexpr double extra_share = 0.03;
constexpr int routers = 5;
constexpr int deadline_ms = 1500;
/// All clients send at the same time, so often.
constexpr int bursts = 50;
constexpr int burst_ms = 350;
/// From the start of the processes to the first requests.
constexpr int start_ms = 5000;
/// From the first requests to the fault, and how long it lasts.
constexpr int before_fault_ms = 5000;
constexpr int fault_ms = 5000;

/// The places of a server, and the answers that it has given while it is
/// faulty.
class places {
 public:
  /// \param fault_begin When the server becomes faulty, if it does.
  explicit places(std::optional<clock_type::time_point> fault_begin)
      : fault_begin(fault_begin) {}

  /// \return False if the server is full.
  bool enter() {
    std::unique_lock lock(this->mutex);
    if (this->inside >= slots + queue) return false;
    ++this->inside;
    this->freed.wait(lock, [this] { return this->running < slots; });
    ++this->running;
    return true;
  }
  void leave() {
    const std::scoped_lock lock(this->mutex);
    --this->inside;
    --this->running;
    this->freed.notify_one();
  }
  void count_answer() {
    const std::scoped_lock lock(this->mutex);
    if (this->is_faulty()) ++this->answers;
  }
  /// \return True if one more answer may come twice.
  bool take_extra() {
    const std::scoped_lock lock(this->mutex);
    if (!this->is_faulty() || this->extras + 1 > extra_share * this->answers) {
      return false;
    }
    ++this->extras;
    return true;
  }

 private:
  bool is_faulty() const {
    if (!this->fault_begin) return false;
    const auto now = clock_type::now();
    return now >= *this->fault_begin &&
           now < *this->fault_begin + milliseconds(fault_ms);
  }

  std::optional<clock_type::time_point> fault_begin;
  std::mutex mutex;
  std::condition_variable freed;
  int inside = 0;
  int running = 0;
  int answers = 0;
  int extras = 0;
};

void serve_caller(connection& from, const std::string& server_id, places& room,
                  const record& log) {
  std::string extra;
  while (const auto request = read_message(from, true)) {
    const auto attempt = request->header("Boragehill-Attempt-Id");
    if (!extra.empty()) {
      log.note(server_id + " sends the answer before again, ahead of " +
               attempt);
      from.write(std::exchange(extra, {}));
    }
    if (answer_health(from, *request, server_id)) continue;
    if (!room.enter()) {
      const auto answer = answer_text(503,
                                      {{"Boragehill-Attempt-Id", attempt},
                                       {"Boragehill-Not-Run", "1"},
                                       {"Retry-After", rest_s}},
                                      "full\n");
      log.note(server_id + " turns away " + attempt);
      room.count_answer();
      from.write(answer);
      if (room.take_extra()) extra = answer;
      continue;
    }
    log.note(server_id + " runs " + attempt);
    sleep_ms(work_ms);
    room.leave();
    room.count_answer();
    from.write(answer_text(200,
                           {{"Boragehill-Attempt-Id", attempt},
                            {"Boragehill-Response-Stamp", server_id}},
                           "done " + attempt + "\n"));
  }
}

/// Sends a request at each tick, each on a connection of its own.
void run_client(const address& front, const std::string& path,
                const std::string& name, clock_type::time_point begin,
                const record& log) {
  for (int number = 0; number < bursts; ++number) {
    std::this_thread::sleep_until(begin + milliseconds(number * burst_ms));
    const auto attempt = name + "-" + std::to_string(number);
    connection to(connect_to(front));
    to.set_limit(deadline_ms + 1000);
    to.write(request_text("POST", path + attempt, attempt, deadline_ms, {},
                          "one manifold"));
    const auto answer = read_message(to, false);
    log.note("client got " + attempt + " status " +
             (answer ? answer->second : "none"));
  }
}

/// \return The word after a text in a line; empty if it isn't there.
std::string word_after(const std::string& line, const std::string& text) {
  const auto at = line.find(text);
  if (at == std::string::npos) return {};
  const auto begin = at + text.size();
  return line.substr(begin, line.find(' ', begin) - begin);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return not_run;
  const record log(argv[2], true);
  fleet small(argv[1], 3 + routers);
  constexpr int first_router = 3;
  auto config = configuration(service);
  config["services"].append(configuration(other_service)["services"][0]);
  config["routes"].append(route("order", "/order/", "non_idempotent", service,
                                1, deadline_ms, 150));
  config["routes"].append(route("link", "/link/", "non_idempotent",
                                other_service, 1, deadline_ms, 150));
  small.platform().put("op", "config", config);
  const auto begin = clock_type::now() + milliseconds(start_ms);
  int machine = 1;
  for (const std::string name : {service, other_service}) {
    std::optional<clock_type::time_point> fault_begin;
    if (has_trouble() && name == service) {
      fault_begin = begin + milliseconds(before_fault_ms);
    }
    const auto id = "i-" + name;
    const auto at = small.app(machine++);
    small.start_worker(id, [&log, id, at, fault_begin] {
      // It lives as long as the process.
      static places room(fault_begin);
      listen_or_give_up(at, [&log, id](connection& from) {
        serve_caller(from, id, room, log);
      });
    });
    small.await_listening(at);
    small.platform().put("servers", id, server_entry(name, at, slots));
  }
  for (int each = 0; each < routers; ++each) {
    small.start_router(first_router + each);
  }
  for (int each = 0; each < routers; ++each) {
    small.await_ready(first_router + each);
  }

  std::vector<std::thread> clients;
  for (int router = 0; router < routers; ++router) {
    clients.emplace_back([&, router] {
      run_client(small.front(first_router + router), "/order/",
                 "order-" + std::to_string(router), begin, log);
    });
  }
  clients.emplace_back([&] {
    run_client(small.front(first_router), "/link/", "link", begin, log);
  });
  for (auto& each : clients) each.join();
  sleep_ms(500);

  std::map<std::string, int> runs;
  std::map<std::string, std::string> statuses;
  for (const auto& line : lines_of(argv[2])) {
    const auto run = word_after(line, "runs ");
    if (!run.empty()) ++runs[run];
    const auto got = word_after(line, "client got ");
    if (!got.empty()) statuses[got] = word_after(line, "status ");
  }
  int twice = 0;
  int refused = 0;
  int served = 0;
  for (const auto& [attempt, count] : runs) {
    const auto& status = statuses[attempt];
    if (count > 1) ++twice;
    if (status == "503" || status == "429") ++refused;
    if (status == "200") ++served;
    if (count > 1 || status == "503" || status == "429") {
      log.note("broken: " + attempt + " ran " + std::to_string(count) +
               " times, status " + status);
    }
  }
  log.note("requests " + std::to_string(statuses.size()) + ", served " +
           std::to_string(served) + ", ran twice " + std::to_string(twice) +
           ", ran and refused " + std::to_string(refused));
  if (served == 0) give_up("no request was served");
  return twice + refused > 0 ? rule_broken : rule_held;
}
