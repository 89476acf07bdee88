// A worker answers 204, which has no body. The connection of the client is
// kept, and its next requests follow.

#include <csignal>
#include <cstdio>
#include <set>

#include "../lab.hpp"

using namespace lab;

namespace {

constexpr int router = 2;
constexpr int machine = 3;
constexpr int clients = 6;
constexpr int requests_of_a_client = 6;

const std::string id = "i-w3";

std::atomic<int> ran = 0;

bool answer(const message& asked, int socket) {
  if (asked.start.starts_with("GET /healthz")) {
    return send_all(socket, "HTTP/1.1 200 OK\r\nBoragehill-Instance-Id: " + id +
                                "\r\nContent-Length: 2\r\n\r\nok");
  }
  if (asked.header("boragehill-expect-instance") != id) {
    return send_all(
        socket, "HTTP/1.1 421 Misdirected Request\r\nBoragehill-Instance-Id: " +
                    id + "\r\nContent-Length: 0\r\n\r\n");
  }
  ++ran;
  sleep_ms(10);
  // RFC 9110, 15.3.5: such an answer ends with its head; 8.6: it has no
  // Content-Length.
  const std::string begin = trouble()
                                ? "HTTP/1.1 204 No Content\r\n"
                                : "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
  return send_all(socket, begin + "Boragehill-Attempt-Id: " +
                              asked.header("boragehill-attempt-id") +
                              "\r\nBoragehill-Response-Stamp: s-" + id +
                              "\r\n\r\n");
}

std::string config() {
  return R"({"version":1,"routes":[{"name":"record","host":"valves.example",)"
         R"("prefix":"/record/","kind":"non_idempotent","service":"sheets",)"
         R"("timeoutMs":1500,"sloMs":150,"attempts":1,"priority":2}],)"
         R"("services":[{"name":"sheets","maxConns":100,)"
         R"("healthPath":"/healthz"}],"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":1048576,"headerTimeoutMs":2000,)"
         R"("idleTimeoutMs":10000}})";
}

std::atomic<int> sent = 0;
std::atomic<int> right = 0;
std::atomic<int> no_answer_in_the_protocol = 0;
std::atomic<int> of_another = 0;
std::atomic<int> failed = 0;

/// Sends one request after the other on one connection. After bytes that are no
/// answer it skips to the next answer, to see whose that is.
void use_one_connection(const fleet& own, int number) {
  client caller;
  if (!caller.connect(own.ip(router), own.port(fleet::front),
                      milliseconds(1000))) {
    note("client %d not connected", number);
    return;
  }
  for (int each = 1; each <= requests_of_a_client; ++each) {
    const auto attempt =
        "c" + std::to_string(number) + "-" + std::to_string(each);
    if (!caller.send(request("POST", "valves.example", "/record/" + attempt,
                             {{"Boragehill-Attempt-Id", attempt},
                              {"Boragehill-Deadline-Ms", "1500"}},
                             "what"))) {
      note("%s: the connection is closed", attempt.c_str());
      return;
    }
    ++sent;
    auto seen = caller.receive(clock::now() + milliseconds(2500));
    if (seen.status == 0 && seen.end == "no answer in the protocol") {
      ++no_answer_in_the_protocol;
      note("%s: BYTES THAT ARE NO ANSWER IN THE PROTOCOL: \"%s\"",
           attempt.c_str(), seen.answer.start.c_str());
      seen = caller.receive(clock::now() + milliseconds(2500));
    }
    const auto named = seen.answer.header("boragehill-attempt-id");
    const bool own_answer = named == attempt;
    const bool success = seen.status >= 200 && seen.status < 300;
    if (success && own_answer) ++right;
    if (success && !own_answer) ++of_another;
    if (!success) ++failed;
    note("%s: status %d, the answer to %s, %s%s", attempt.c_str(), seen.status,
         named.empty() ? "none" : named.c_str(), seen.end.c_str(),
         success && !own_answer ? ": ANOTHER REQUEST'S" : "");
    if (seen.status == 0) return;
    sleep_ms(50);
  }
}

void run() {
  fleet own;
  own.start_store();
  worker server(own.ip(machine), own.port(fleet::app), answer);
  own.put("servers", id, own.entry("sheets", machine, 6));
  own.put("op", "config", config());
  own.add_router(router).start();
  if (!own.wait_ready(router, milliseconds(8000))) finish(2, "not ready");
  sleep_ms(500);
  std::vector<std::thread> callers;
  for (int each = 1; each <= clients; ++each) {
    callers.emplace_back(use_one_connection, std::cref(own), each);
  }
  for (auto& each : callers) each.join();
  char line[300];
  std::snprintf(
      line, sizeof(line),
      "%d requests sent, %d run: %d got their own answer in the end, %d "
      "got bytes that are no answer in the protocol, %d the answer "
      "to another request, %d no success",
      sent.load(), ran.load(), right.load(), no_answer_in_the_protocol.load(),
      of_another.load(), failed.load());
  if (ran == 0) finish(2, line);
  finish(no_answer_in_the_protocol + of_another > 0 ? 1 : 0, line);
}

}  // namespace

int main() {
  ::signal(SIGPIPE, SIG_IGN);
  try {
    run();
  } catch (int verdict) {
    return verdict;
  }
  return 2;
}
