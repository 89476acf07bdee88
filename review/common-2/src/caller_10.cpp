// Callers send two requests, one right behind the other, on a kept connection.
// Meanwhile the router is told to stop; the first answer comes before its grace
// is over. Both requests have been read whole, so both have to be answered.
//
//   review_caller_10 IP PORT ROUTER-PID TROUBLE

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "net.hpp"

namespace {

constexpr std::size_t callers = 12;
/// What the rule allows between a request's last byte and the end of its
/// connection, if no worker had it.
constexpr std::int64_t loss_slack_ms = 200;
constexpr auto stop_after = std::chrono::milliseconds(300);

struct outcome {
  review::message first;
  review::message second;
  std::int64_t ended_ms = 0;
};

outcome ask(const std::string& ip, int port, std::size_t number) {
  outcome found;
  const auto name = "attempt-" + std::to_string(number);
  const int fd = review::connect_to(ip, port);
  review::reader from(fd);
  from.set_limit(12000);
  review::send_request(
      fd, review::request_text("GET", "/lookup/small", name + "-0", 12000));
  from.read_answer();
  review::send_request(
      fd, review::request_text("GET", "/lookup/wait/3600", name + "-1", 12000));
  review::send_request(
      fd, review::request_text("GET", "/lookup/small", name + "-2", 12000));
  const auto sent = review::now_ms();
  found.first = from.read_answer();
  found.second = from.read_answer();
  found.ended_ms = review::now_ms() - sent;
  ::close(fd);
  return found;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  const int port = std::atoi(argv[2]);
  const auto router = static_cast<pid_t>(std::atoi(argv[3]));
  const bool trouble = std::string(argv[4]) != "0";
  std::vector<outcome> found(callers);
  std::vector<std::thread> threads;
  for (std::size_t each = 0; each < callers; ++each) {
    threads.emplace_back(
        [&, each] { found[each] = ask(argv[1], port, each + 1); });
  }
  std::this_thread::sleep_for(stop_after);
  if (trouble) ::kill(router, SIGTERM);
  for (auto& each : threads) each.join();
  int lost = 0;
  int number = 0;
  for (const auto& each : found) {
    const bool answered = each.second.end == review::ending::whole;
    const bool is_lost = !answered && each.ended_ms > loss_slack_ms;
    lost += is_lost;
    std::printf(
        "attempt-%d: first %s, connection: %s; second %s, ends: %s, %lld ms "
        "after it was sent%s\n",
        ++number, each.first.first_line.c_str(),
        each.first.field("connection").c_str(), each.second.first_line.c_str(),
        review::name_of(each.second.end), static_cast<long long>(each.ended_ms),
        is_lost ? "  <- lost" : "");
  }
  std::printf("%d of %zu second requests were read and got no answer\n", lost,
              callers);
  return lost > 0 ? 1 : 0;
}
