// A worker ends (SIGKILL) while it sends an answer that has no length and ends
// with its connection.
//
// As "cut worker IP PORT MACHINE" this program is that worker.

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <unistd.h>

#include "../lab.hpp"

using namespace lab;

namespace {

constexpr int router = 2;
constexpr int first_worker = 3;
constexpr int workers = 6;
constexpr int requests_at_once = 18;
constexpr int parts = 8;
constexpr int rounds = 6;
constexpr long between_parts_ms = 10;
constexpr long down_ms = 2000;

std::string id_of(int machine) {
  return "i-w" + std::to_string(machine);
}

std::string part_of(const std::string& attempt, int number) {
  return attempt + " part " + std::to_string(number) + " of " +
         std::to_string(parts) + "\n";
}

std::string whole_body(const std::string& attempt) {
  std::string body;
  for (int each = 1; each <= parts; ++each) body += part_of(attempt, each);
  return body;
}

bool answer(const message& asked, int machine, int socket) {
  if (asked.start.starts_with("GET /healthz")) {
    return send_all(
        socket, "HTTP/1.1 200 OK\r\nBoragehill-Instance-Id: " + id_of(machine) +
                    "\r\nContent-Length: 2\r\n\r\nok");
  }
  if (asked.header("boragehill-expect-instance") != id_of(machine)) {
    return send_all(
        socket, "HTTP/1.1 421 Misdirected Request\r\nBoragehill-Instance-Id: " +
                    id_of(machine) + "\r\nContent-Length: 0\r\n\r\n");
  }
  const auto attempt = asked.header("boragehill-attempt-id");
  std::printf("ran %s\n", attempt.c_str());
  std::fflush(stdout);
  send_all(socket,
           "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
           "Boragehill-Attempt-Id: " +
               attempt + "\r\nBoragehill-Response-Stamp: s-" + id_of(machine) +
               "\r\nConnection: close\r\n\r\n");
  for (int each = 1; each <= parts; ++each) {
    if (!send_all(socket, part_of(attempt, each))) break;
    sleep_ms(between_parts_ms);
  }
  return false;
}

int be_worker(char** words) {
  const int machine = std::atoi(words[4]);
  worker own(words[2], std::atoi(words[3]),
             [machine](const message& asked, int socket) {
               return answer(asked, machine, socket);
             });
  for (;;) ::pause();
}

std::string config() {
  const auto route = [](const std::string& name, const std::string& kind) {
    return R"({"name":")" + name + R"(","host":"valves.example","prefix":"/)" +
           name + R"(/","kind":")" + kind +
           R"(","service":"sheets","timeoutMs":1500,"sloMs":150,"attempts":2,)"
           R"("priority":2})";
  };
  return R"({"version":1,"routes":[)" + route("datasheet", "non_idempotent") +
         "," + route("cad", "idempotent") +
         R"(],"services":[{"name":"sheets","maxConns":100,)"
         R"("healthPath":"/healthz"}],"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":1048576,"headerTimeoutMs":2000,)"
         R"("idleTimeoutMs":10000}})";
}

struct counts {
  std::atomic<int> sent = 0;
  std::atomic<int> whole = 0;
  std::atomic<int> cut = 0;
  std::atomic<int> failed = 0;
  std::atomic<int> wrong = 0;
};

void ask(const fleet& own, int number, counts& seen_so_far) {
  const bool repeatable = number % 2 == 0;
  const auto attempt = "a" + std::to_string(number);
  client caller;
  if (!caller.connect(own.ip(router), own.port(fleet::front),
                      milliseconds(1000))) {
    note("%s not connected", attempt.c_str());
    return;
  }
  ++seen_so_far.sent;
  caller.send(request(
      "POST", "valves.example",
      (repeatable ? "/cad/" : "/datasheet/") + attempt,
      {{"Boragehill-Attempt-Id", attempt}, {"Boragehill-Deadline-Ms", "1500"}},
      "what"));
  const auto seen = caller.receive(clock::now() + milliseconds(2500));
  const bool success = seen.status >= 200 && seen.status < 300;
  const bool right = seen.answer.body == whole_body(attempt);
  const char* verdict = "no success";
  if (!success) {
    ++seen_so_far.failed;
  } else if (!seen.complete) {
    ++seen_so_far.cut;
    verdict = "seen to be cut";
  } else if (right) {
    ++seen_so_far.whole;
    verdict = "whole";
  } else {
    ++seen_so_far.wrong;
    verdict = "LOOKS COMPLETE, BUT IS NOT";
  }
  note("%s %s by %s: status %d, %zu of %zu bytes, %s: %s", attempt.c_str(),
       repeatable ? "idempotent" : "non_idempotent",
       seen.answer.header("boragehill-response-stamp").c_str(), seen.status,
       seen.answer.body.size(), whole_body(attempt).size(), seen.end.c_str(),
       verdict);
}

void run(const char* program) {
  fleet own;
  own.start_store();
  std::vector<std::unique_ptr<child>> servers;
  for (int each = 0; each < workers; ++each) {
    const int machine = first_worker + each;
    servers.push_back(std::make_unique<child>(
        std::vector<std::string>{program, "worker", own.ip(machine),
                                 std::to_string(own.port(fleet::app)),
                                 std::to_string(machine)},
        own.folder + "/worker-" + std::to_string(machine) + ".log"));
  }
  const auto start_worker = [&](int index) {
    const int machine = first_worker + index;
    servers[index]->start();
    sleep_ms(50);
    own.put("servers", id_of(machine), own.entry("sheets", machine, 6));
  };
  for (int each = 0; each < workers; ++each) start_worker(each);
  own.put("op", "config", config());
  own.add_router(router).start();
  if (!own.wait_ready(router, milliseconds(8000))) finish(2, "not ready");
  sleep_ms(500);
  counts seen;
  int number = 0;
  for (int round = 0; round < rounds; ++round) {
    std::vector<std::thread> callers;
    for (int each = 0; each < requests_at_once; ++each) {
      callers.emplace_back(ask, std::cref(own), ++number, std::ref(seen));
    }
    sleep_ms(between_parts_ms * parts / 2);
    const int victim = round % workers;
    if (trouble()) {
      note("worker %s is killed", id_of(first_worker + victim).c_str());
      servers[victim]->kill();
    }
    for (auto& each : callers) each.join();
    sleep_ms(down_ms);
    if (trouble()) start_worker(victim);
    sleep_ms(1500);
  }
  char line[300];
  std::snprintf(line, sizeof(line),
                "%d requests: %d whole answers, %d seen to be cut, %d without "
                "a success, %d successes that look complete and hold only a "
                "part of the worker's body",
                seen.sent.load(), seen.whole.load(), seen.cut.load(),
                seen.failed.load(), seen.wrong.load());
  if (seen.whole == 0) finish(2, line);
  finish(seen.wrong > 0 ? 1 : 0, line);
}

}  // namespace

int main(int count, char** words) {
  ::signal(SIGPIPE, SIG_IGN);
  if (count > 4 && std::string(words[1]) == "worker") return be_worker(words);
  try {
    run(words[0]);
  } catch (int verdict) {
    return verdict;
  }
  return 2;
}
