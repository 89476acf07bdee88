// Callers read event streams that may be resumed. One of two workers is killed
// meanwhile and comes back under its id with the other's software. No stream
// may hold events of two versions.
//
//   review_caller_8 IP PORT

#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "net.hpp"

namespace {

constexpr std::size_t callers = 12;
constexpr int events_of_stream = 60;
/// The rule excuses two.
constexpr int excused = 2;

struct outcome {
  std::string attempt;
  review::message answer;
};

outcome read_stream(const std::string& ip, int port, std::size_t number) {
  outcome found{.attempt = "stream-" + std::to_string(number)};
  const int fd = review::connect_to(ip, port);
  review::reader from(fd);
  from.set_limit(15000);
  review::send_request(
      fd, review::request_text(
              "POST", "/resumable/drafts/" + std::to_string(events_of_stream),
              found.attempt, 25000, {}, "a quote " + found.attempt));
  found.answer = from.read_answer();
  ::close(fd);
  return found;
}

/// Ordinary requests: a router that has just started has earned no retries yet.
void warm_up(const std::string& ip, int port) {
  const int fd = review::connect_to(ip, port);
  review::reader from(fd);
  from.set_limit(5000);
  for (int each = 1; each <= 80; ++each) {
    review::send_request(
        fd, review::request_text("GET", "/lookup/small",
                                 "small-" + std::to_string(each), 5000));
    from.read_answer();
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  ::close(fd);
}

int count(const std::string& text, const std::string& part) {
  int found = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++found;
  }
  return found;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const int port = std::atoi(argv[2]);
  warm_up(argv[1], port);
  std::vector<outcome> found(callers);
  std::vector<std::thread> threads;
  for (std::size_t each = 0; each < callers; ++each) {
    threads.emplace_back(
        [&, each] { found[each] = read_stream(argv[1], port, each + 1); });
  }
  for (auto& each : threads) each.join();
  int joined = 0;
  for (const auto& each : found) {
    const int first = count(each.answer.body, "data: by v1\n");
    const int second = count(each.answer.body, "data: by v2\n");
    joined += first > 0 && second > 0;
    std::printf("%s: %s, %d events by v1, %d by v2, ends: %s%s\n",
                each.attempt.c_str(), each.answer.first_line.c_str(), first,
                second, review::name_of(each.answer.end),
                first > 0 && second > 0 ? "  <- two versions" : "");
  }
  std::printf("%d streams hold events of two versions; %d are excused\n",
              joined, excused);
  return joined > excused ? 1 : 0;
}
