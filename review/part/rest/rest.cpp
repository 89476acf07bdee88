// A worker that is full turns requests away (503 with Retry-After) and ends
// (SIGKILL) while it writes streams that have neither a length nor chunks.
//
// As "rest worker IP PORT MACHINE" this program is that worker.

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
/// Streams that a worker writes at once; it turns further ones away.
constexpr int slots = 3;
/// Some more than all workers write at once.
constexpr int streams_at_once = workers * slots + 8;
constexpr int events = 30;
constexpr int rounds = 6;
constexpr long between_events_ms = 40;
constexpr long down_ms = 2000;

std::string id_of(int machine) {
  return "i-w" + std::to_string(machine);
}

std::string event_of(const std::string& attempt, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + attempt + " " +
         std::to_string(number) + " of " + std::to_string(events) + "\n\n";
}

std::string whole_body(const std::string& attempt) {
  std::string body;
  for (int each = 1; each <= events; ++each) body += event_of(attempt, each);
  return body;
}

std::atomic<int> running = 0;

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
  if (running.fetch_add(1) >= slots) {
    --running;
    std::printf("turned away %s\n", attempt.c_str());
    std::fflush(stdout);
    return send_all(socket,
                    "HTTP/1.1 503 Service Unavailable\r\n"
                    "Boragehill-Not-Run: 1\r\nBoragehill-Attempt-Id: " +
                        attempt +
                        "\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n");
  }
  const int last = std::atoi(asked.header("last-event-id").c_str());
  std::printf("ran %s after %d\n", attempt.c_str(), last);
  std::fflush(stdout);
  bool open = send_all(socket,
                       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Boragehill-Attempt-Id: " +
                           attempt + "\r\nBoragehill-Response-Stamp: s-" +
                           id_of(machine) + "\r\nConnection: close\r\n\r\n");
  for (int each = last + 1; open && each <= events; ++each) {
    open = send_all(socket, event_of(attempt, each));
    sleep_ms(between_events_ms);
  }
  --running;
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
  const auto route = [](const std::string& name, const std::string& more) {
    return R"({"name":")" + name + R"(","host":"valves.example","prefix":"/)" +
           name +
           R"(/","kind":"stream","service":"chats","timeoutMs":12000,)"
           R"("sloMs":500,"gapAimMs":250,"priority":2,)" +
           more + "}";
  };
  return R"({"version":1,"routes":[)" + route("chat", R"("attempts":1)") + "," +
         route("draft", R"("attempts":2,"resumable":true)") +
         R"(],"services":[{"name":"chats","maxConns":100,)"
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
  const bool resumable = number % 2 == 0;
  const auto attempt = "a" + std::to_string(number);
  client caller;
  if (!caller.connect(own.ip(router), own.port(fleet::front),
                      milliseconds(1000))) {
    note("%s not connected", attempt.c_str());
    return;
  }
  ++seen_so_far.sent;
  caller.send(request(
      "POST", "valves.example", (resumable ? "/draft/" : "/chat/") + attempt,
      {{"Boragehill-Attempt-Id", attempt}, {"Boragehill-Deadline-Ms", "12000"}},
      "what"));
  const auto seen = caller.receive(clock::now() + milliseconds(12000));
  const char* verdict = "no success";
  if (seen.status != 200) {
    ++seen_so_far.failed;
  } else if (!seen.complete) {
    ++seen_so_far.cut;
    verdict = "seen to be cut";
  } else if (seen.answer.body == whole_body(attempt)) {
    ++seen_so_far.whole;
    verdict = "whole";
  } else {
    ++seen_so_far.wrong;
    verdict = "ENDS AS COMPLETE BEFORE ITS LAST PIECE";
  }
  note("%s %s by %s: status %d, %zu of %zu bytes, %s: %s", attempt.c_str(),
       resumable ? "resumable" : "not resumable",
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
    own.put("servers", id_of(machine), own.entry("chats", machine, slots));
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
    for (int each = 0; each < streams_at_once; ++each) {
      callers.emplace_back(ask, std::cref(own), ++number, std::ref(seen));
    }
    sleep_ms(between_events_ms * events / 2);
    const int victim = round % workers;
    if (trouble()) {
      note("worker %s is killed", id_of(first_worker + victim).c_str());
      servers[victim]->kill();
    }
    for (auto& each : callers) each.join();
    sleep_ms(down_ms);
    if (trouble()) start_worker(victim);
    // Until no worker rests any more.
    sleep_ms(3500);
  }
  char line[300];
  std::snprintf(line, sizeof(line),
                "%d streams: %d whole, %d seen to be cut, %d without a "
                "success, %d that end as complete before their last piece",
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
