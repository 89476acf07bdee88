// Eighteen callers read event streams that have neither a length nor chunks.
// All workers turn a request away meanwhile and ask for rest; then one of six
// is killed. No caller may get a stream that ends as complete before its last
// event.
//
//   review_caller_7 IP PORT WORKER-PID TROUBLE

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "net.hpp"

namespace {

constexpr std::size_t callers = 18;
constexpr int events_of_stream = 20;
/// One for each worker, and some more.
constexpr int busy_requests = 9;
constexpr auto rest_after = std::chrono::milliseconds(500);
constexpr auto kill_after = std::chrono::milliseconds(500);

struct outcome {
  std::string attempt;
  review::message answer;
  int events = 0;
};

outcome read_stream(const std::string& ip, int port, std::size_t number) {
  outcome found{.attempt = "stream-" + std::to_string(number)};
  const int fd = review::connect_to(ip, port);
  review::reader from(fd);
  from.set_limit(15000);
  review::send_request(
      fd, review::request_text(
              "POST", "/stream/events/" + std::to_string(events_of_stream),
              found.attempt, 15000, {}, "a quote"));
  found.answer = from.read_answer();
  const auto& body = found.answer.body;
  for (auto at = body.find("\n\n"); at != std::string::npos;
       at = body.find("\n\n", at + 2)) {
    ++found.events;
  }
  ::close(fd);
  return found;
}

/// A request that every worker turns away, asking for rest.
void ask_busy(const std::string& ip, int port, int number) {
  const auto name = "busy-" + std::to_string(number);
  const int fd = review::connect_to(ip, port);
  review::reader from(fd);
  from.set_limit(5000);
  review::send_request(fd,
                       review::request_text("GET", "/lookup/busy", name, 1000));
  const auto answer = from.read_answer();
  std::printf("%s: %s %s\n", name.c_str(), answer.first_line.c_str(),
              answer.body.c_str());
  ::close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  const int port = std::atoi(argv[2]);
  const auto worker = static_cast<pid_t>(std::atoi(argv[3]));
  const std::string trouble = argv[4];
  std::vector<outcome> found(callers);
  std::vector<std::thread> threads;
  for (std::size_t each = 0; each < callers; ++each) {
    threads.emplace_back(
        [&, each] { found[each] = read_stream(argv[1], port, each + 1); });
  }
  std::this_thread::sleep_for(rest_after);
  // "kill" leaves out the rest alone, which shows what it changes.
  const bool rests = trouble != "0" && trouble != "kill";
  for (int each = 1; rests && each <= busy_requests; ++each) {
    ask_busy(argv[1], port, each);
  }
  std::this_thread::sleep_for(kill_after);
  if (trouble != "0") ::kill(worker, SIGKILL);
  for (auto& each : threads) each.join();
  int broken = 0;
  std::size_t served = 0;
  for (const auto& each : found) {
    const bool looks_whole =
        each.answer.status() == 200 && each.answer.end == review::ending::whole;
    const bool cut = looks_whole && each.events < events_of_stream;
    broken += cut;
    served += looks_whole && !cut;
    std::printf("%s: %s, %d of %d events, ends: %s%s\n", each.attempt.c_str(),
                each.answer.first_line.c_str(), each.events, events_of_stream,
                review::name_of(each.answer.end),
                cut ? "  <- ends as complete before its last event" : "");
  }
  std::printf("%d broken, %zu served whole\n", broken, served);
  if (trouble == "0" && served != callers) return 1;
  return broken > 0 ? 1 : 0;
}
