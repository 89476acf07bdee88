// A server in need limits the rate of its requests. It loses the path to the
// store, so that its entry is removed, and has it back some seconds later. It
// serves all the while.

#include <algorithm>
#include <atomic>
#include <random>
#include <thread>
#include <vector>

#include "../common/fleet.hpp"
#include "../common/worker.hpp"

namespace {

using namespace review;

constexpr auto limited_service = "sheets";
constexpr auto other_service = "links";
constexpr int other_servers = 4;
constexpr int routers = 3;
constexpr int clients_of_a_router = 60;
constexpr int slots = 32;
constexpr int limit_per_s = 1;
constexpr int slow_work_ms = 100;
constexpr int work_ms = 30;
constexpr int deadline_ms = 4000;
constexpr int ping_ms = 1200;
constexpr int contact_ms = 3000;
constexpr int window_ms = 4000;
constexpr int before_cut_ms = 8000;
constexpr int cut_ms = 5000;
constexpr int after_cut_ms = 8000;

void serve_caller(connection& from, const std::string& id, bool is_limited,
                  const record& log) {
  while (const auto request = read_message(from, true)) {
    if (answer_health(from, *request, id)) continue;
    const auto attempt = request->header("Boragehill-Attempt-Id");
    log.note(id + " runs " + attempt);
    sleep_ms(is_limited ? slow_work_ms : work_ms);
    header_map headers{{"Boragehill-Attempt-Id", attempt},
                       {"Boragehill-Response-Stamp", id}};
    if (is_limited) headers["Server-Limit"] = std::to_string(limit_per_s);
    log.note(id + " answers " + attempt);
    if (!from.write(answer_text(200, headers, "done\n"))) return;
  }
}

void run_client(const address& front, const std::string& path,
                const std::string& name, clock_type::time_point end,
                const record& log) {
  std::mt19937 random(static_cast<unsigned>(std::hash<std::string>()(name)));
  std::uniform_real_distribution<double> jitter(0, 1);
  for (int number = 0; clock_type::now() < end; ++number) {
    const auto attempt = name + "-" + std::to_string(number);
    connection to(connect_to(front));
    to.set_limit(deadline_ms + 1000);
    to.write(request_text("POST", path + attempt, attempt, deadline_ms, {},
                          "one manifold"));
    const auto answer = read_message(to, false);
    log.note("client got " + attempt + " status " +
             (answer ? answer->second : "none"));
    double wait_s = 0.1;
    if (answer && answer->status() == 503) {
      const auto told = answer->header("Retry-After");
      // A third of the time that is left is the longest wait.
      wait_s = std::clamp(std::atof(told.c_str()), 0.1, 1.3);
    }
    // Callers that were refused together don't all come back together.
    wait_s += jitter(random);
    sleep_ms(static_cast<std::int64_t>(wait_s * 1000));
  }
}

struct server {
  std::string id;
  std::string service;
  address at;
};

/// \return The most requests that the server got in a window that begins later
///     than `contactMs` after it first named its limit.
int most_in_window(const std::string& path, const std::string& id) {
  std::vector<std::int64_t> arrivals;
  std::int64_t named = 0;
  for (const auto& line : lines_of(path)) {
    const auto at = std::atoll(line.c_str());
    if (line.find(id + " runs ") != std::string::npos) arrivals.push_back(at);
    if (named == 0 && line.find(id + " answers ") != std::string::npos) {
      named = at;
    }
  }
  std::ranges::sort(arrivals);
  int most = 0;
  for (std::size_t first = 0; first < arrivals.size(); ++first) {
    if (named == 0 || arrivals[first] < named + contact_ms) continue;
    const auto end =
        std::ranges::lower_bound(arrivals, arrivals[first] + window_ms);
    const auto count =
        end - arrivals.begin() - static_cast<std::ptrdiff_t>(first);
    most = std::max(most, static_cast<int>(count));
  }
  return most;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return not_run;
  const record log(argv[2], true);
  fleet small(argv[1], 2 + other_servers + routers);
  auto config = configuration(limited_service);
  config["services"].append(configuration(other_service)["services"][0]);
  config["routes"].append(route("order", "/order/", "non_idempotent",
                                limited_service, 1, deadline_ms, 2000));
  config["routes"].append(route("link", "/link/", "non_idempotent",
                                other_service, 1, deadline_ms, 150));
  small.platform().put("op", "config", config);
  std::vector<server> servers;
  for (int each = 0; each <= other_servers; ++each) {
    const std::string service = each == 0 ? limited_service : other_service;
    servers.push_back({"i-" + service + "-" + std::to_string(each), service,
                       small.app(1 + each)});
  }
  for (const auto& each : servers) {
    small.start_worker(each.id, [&log, each] {
      const bool is_limited = each.service == limited_service;
      listen_or_give_up(each.at,
                        [&log, id = each.id, is_limited](connection& from) {
                          serve_caller(from, id, is_limited, log);
                        });
    });
    small.await_listening(each.at);
    small.platform().put("servers", each.id,
                         server_entry(each.service, each.at, slots));
  }
  const int first_router = 2 + other_servers;
  for (int each = 0; each < routers; ++each) {
    small.start_router(first_router + each);
  }
  for (int each = 0; each < routers; ++each) {
    small.await_ready(first_router + each);
  }
  sleep_ms(1500);

  const auto end =
      clock_type::now() + milliseconds(before_cut_ms + cut_ms + after_cut_ms);
  std::vector<std::thread> clients;
  for (int router = 0; router < routers; ++router) {
    for (int each = 0; each < clients_of_a_router; ++each) {
      const auto name =
          "order-" + std::to_string(router) + "-" + std::to_string(each);
      clients.emplace_back([&, router, name] {
        run_client(small.front(first_router + router), "/order/", name, end,
                   log);
      });
    }
    clients.emplace_back([&, router] {
      run_client(small.front(first_router + router), "/link/",
                 "link-" + std::to_string(router), end, log);
    });
  }
  sleep_ms(before_cut_ms);
  const auto& limited = servers.front();
  if (has_trouble()) {
    log.note(limited.id + " loses the path to the store");
    sleep_ms(3 * ping_ms);
    log.note("its entry is removed");
    small.platform().remove("servers", limited.id);
    sleep_ms(cut_ms - 3 * ping_ms);
    log.note(limited.id + " has the path back and writes its entry");
    small.platform().put("servers", limited.id,
                         server_entry(limited.service, limited.at, slots));
  }
  for (auto& each : clients) each.join();

  const int most = most_in_window(argv[2], limited.id);
  const int allowed = limit_per_s * window_ms / 1000 * 3 / 2 + 5;
  log.note("most requests in 4 s " + std::to_string(most) + ", allowed " +
           std::to_string(allowed));
  if (most == 0) give_up("the server got no request");
  return most > allowed ? rule_broken : rule_held;
}
