// Twelve callers send an order each on a kept connection. The answer has some
// hundred kilobytes; its caller reads a few, does something else for some
// seconds, and reads on. Every answer has to come whole.
//
//   review_caller_6 IP PORT PAUSE-MS

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
constexpr int answer_bytes = 400000;
constexpr int receive_buffer = 65536;

struct outcome {
  std::string attempt;
  review::message answer;
  std::int64_t took_ms = 0;
};

outcome order(const std::string& ip, int port, int number, int pause_ms) {
  outcome found{.attempt = "order-" + std::to_string(number)};
  const int fd = review::connect_to(ip, port, receive_buffer);
  review::reader from(fd);
  from.set_limit(15000);
  const auto name = "small-" + std::to_string(number);
  review::send_request(
      fd, review::request_text("GET", "/lookup/small", name, 15000));
  from.read_answer();
  const auto began = review::now_ms();
  review::send_request(
      fd, review::request_text("POST",
                               "/order/large/" + std::to_string(answer_bytes),
                               found.attempt, 15000, {}, "one valve"));
  found.answer = from.read_head();
  std::this_thread::sleep_for(std::chrono::milliseconds(pause_ms));
  if (found.answer.end == review::ending::whole) {
    from.read_body(found.answer, true);
  }
  review::reader::note("answered", found.answer);
  found.took_ms = review::now_ms() - began;
  ::close(fd);
  return found;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  const int port = std::atoi(argv[2]);
  const int pause_ms = std::atoi(argv[3]);
  std::vector<outcome> found(callers);
  std::vector<std::thread> threads;
  for (int each = 0; each < callers; ++each) {
    threads.emplace_back(
        [&, each] { found[each] = order(argv[1], port, each + 1, pause_ms); });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  for (auto& each : threads) each.join();
  int lost = 0;
  for (const auto& each : found) {
    const bool whole = each.answer.end == review::ending::whole &&
                       each.answer.body.size() == answer_bytes;
    lost += !whole;
    std::printf("%s: %s, %zu of %d bytes, ends: %s, after %lld ms\n",
                each.attempt.c_str(), each.answer.first_line.c_str(),
                each.answer.body.size(), answer_bytes,
                review::name_of(each.answer.end),
                static_cast<long long>(each.took_ms));
  }
  std::printf("%d of %d orders ran and were cut off; %d are excused\n", lost,
              callers, excused);
  return lost > excused ? 1 : 0;
}
