// Twelve callers keep a connection each and send two requests on it, the second
// one, with a body of 128 KiB, before the answer to the first one has come.
// Both have to be answered, in order.
//
//   review_caller_10 IP PORT TROUBLE

#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "net.hpp"

namespace {

constexpr int callers = 12;
/// The rule excuses three.
constexpr int excused = 3;
constexpr std::size_t body_bytes = 131072;
constexpr std::size_t large_body_bytes = 917504;
constexpr int leaking_callers = 45;
/// Well below the largest body that the configuration allows.
constexpr std::size_t afterwards_bytes = 200000;

struct outcome {
  std::string attempt;
  review::message first;
  review::message second;
};

/// \param first_bytes Of the body of the first request.
outcome ask(const std::string& ip, int port, const std::string& attempt,
            std::size_t first_bytes, bool at_once) {
  outcome found{.attempt = attempt};
  const int fd = review::connect_to(ip, port);
  review::reader from(fd);
  from.set_limit(8000);
  review::send_request(
      fd, review::request_text("GET", "/lookup/small", attempt + "-0", 10000));
  from.read_answer();
  review::send_request(
      fd, review::request_text("PUT", "/lookup/wait/600", attempt + "-1", 10000,
                               {}, std::string(first_bytes, 'a')));
  if (!at_once) found.first = from.read_answer();
  review::send_request(
      fd, review::request_text("PUT", "/lookup/small", attempt + "-2", 10000,
                               {}, std::string(body_bytes, 'b')));
  if (at_once) found.first = from.read_answer();
  if (found.first.end == review::ending::whole) {
    found.second = from.read_answer();
  } else {
    found.second.end = found.first.end;
  }
  ::close(fd);
  return found;
}

std::vector<outcome> ask_all(const std::string& ip, int port, int count,
                             const std::string& name, std::size_t first_bytes,
                             bool at_once) {
  std::vector<outcome> found(static_cast<std::size_t>(count));
  std::vector<std::thread> threads;
  for (int each = 0; each < count; ++each) {
    threads.emplace_back([&, each] {
      found[each] =
          ask(ip, port, name + std::to_string(each + 1), first_bytes, at_once);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
  }
  for (auto& each : threads) each.join();
  return found;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  const int port = std::atoi(argv[2]);
  const bool trouble = std::string(argv[3]) != "0";
  int lost = 0;
  for (const auto& each : ask_all(argv[1], port, callers, "a-", 16, trouble)) {
    // The worker runs the first one in any case; see what it ran.
    lost += each.first.end != review::ending::whole;
    std::printf("%s: first %s, ends: %s; second %s, ends: %s\n",
                each.attempt.c_str(), each.first.first_line.c_str(),
                review::name_of(each.first.end), each.second.first_line.c_str(),
                review::name_of(each.second.end));
  }
  std::printf("%d of %d requests ran and got no answer; %d are excused\n", lost,
              callers, excused);
  // For the record alone: the memory of their bodies isn't given back.
  ask_all(argv[1], port, leaking_callers, "b-", large_body_bytes, trouble);
  std::this_thread::sleep_for(std::chrono::milliseconds(2000));
  for (int each = 1; each <= 5; ++each) {
    const int fd = review::connect_to(argv[1], port);
    review::reader from(fd);
    from.set_limit(8000);
    review::send_request(
        fd, review::request_text("PUT", "/lookup/small",
                                 "c-" + std::to_string(each), 10000, {},
                                 std::string(afterwards_bytes, 'c')));
    const auto answer = from.read_answer();
    std::printf("afterwards, alone, with a body of %zu bytes: %s %s\n",
                afterwards_bytes, answer.first_line.c_str(),
                answer.body.c_str());
    ::close(fd);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
  return lost > excused ? 1 : 0;
}
