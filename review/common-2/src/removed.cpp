// A worker is removed at short notice while it writes streams that have neither
// a length nor chunks: when its time runs out its process ends (SIGKILL), and
// its address answers nobody any more.
//
// As "review_removed worker IP PORT MACHINE" this program is that worker.

#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lab.hpp"

using namespace lab;

namespace {

constexpr int router = 2;
constexpr int first_worker = 3;
constexpr int workers = 8;
constexpr int slots = 6;
constexpr int streams_at_once = 24;
constexpr int events = 32;
constexpr int rounds = 5;
constexpr long between_events_ms = 100;
/// From the notice to the end.
constexpr long notice_ms = 2000;
constexpr long away_ms = 4000;

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

/// The network of one worker's machine: passes bytes on both ways, and ends of
/// connections in order, until it is dark. Then nobody is answered.
class machine_link {
 public:
  machine_link(const std::string& ip, int port, int worker_port)
      : there(name_of(ip, worker_port)) {
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto name = name_of(ip, port);
    if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&name),
               sizeof(name)) != 0 ||
        ::listen(this->listener, 256) != 0) {
      finish(2, "a link can't listen");
    }
    std::thread([this] { this->accept(); }).detach();
  }

  void set_dark(bool now_dark) { this->dark = now_dark; }

 private:
  static sockaddr_in name_of(const std::string& ip, int port) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &name.sin_addr);
    return name;
  }

  void accept() {
    for (;;) {
      const int caller =
          ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (caller < 0) return;
      // Held open and unanswered, as by a machine that is gone.
      if (this->dark) continue;
      const int peer = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (::connect(peer, reinterpret_cast<const sockaddr*>(&this->there),
                    sizeof(this->there)) != 0) {
        ::close(peer);
        ::close(caller);
        continue;
      }
      std::thread(pass, caller, peer).detach();
      std::thread(pass, peer, caller).detach();
    }
  }

  static void pass(int from, int to) {
    const int on = 1;
    ::setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    char bytes[16384];
    for (;;) {
      const auto size = ::recv(from, bytes, sizeof(bytes), 0);
      if (size <= 0) break;
      if (!send_all(to, {bytes, static_cast<std::size_t>(size)})) break;
    }
    ::shutdown(to, SHUT_WR);
  }

  sockaddr_in there;
  int listener = -1;
  std::atomic<bool> dark = false;
};

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
  note("%s sent", attempt.c_str());
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
  const int worker_port = own.port(fleet::app + 1);
  std::vector<std::unique_ptr<child>> servers;
  // Their threads use them until the end of this program.
  std::vector<machine_link*> links;
  for (int each = 0; each < workers; ++each) {
    const int machine = first_worker + each;
    servers.push_back(std::make_unique<child>(
        std::vector<std::string>{program, "worker", own.ip(machine),
                                 std::to_string(worker_port),
                                 std::to_string(machine)},
        own.folder + "/worker-" + std::to_string(machine) + ".log"));
    links.push_back(
        new machine_link(own.ip(machine), own.port(fleet::app), worker_port));
  }
  const auto start_worker = [&](int index) {
    const int machine = first_worker + index;
    links[index]->set_dark(false);
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
    sleep_ms(300);
    const int victim = round % workers;
    const auto id = id_of(first_worker + victim);
    if (trouble()) {
      note("worker %s has %ld ms left", id.c_str(), notice_ms);
      own.put("servers", id,
              own.entry("chats", first_worker + victim, slots, notice_ms));
      sleep_ms(notice_ms);
      note("worker %s is gone", id.c_str());
      links[victim]->set_dark(true);
      servers[victim]->kill();
    }
    for (auto& each : callers) each.join();
    if (trouble()) own.drop("servers", id);
    sleep_ms(away_ms);
    if (trouble()) start_worker(victim);
    sleep_ms(1000);
  }
  note("--- what the workers ran");
  for (int each = 0; each < workers; ++each) {
    note("worker %s", id_of(first_worker + each).c_str());
    note_file(own.folder + "/worker-" + std::to_string(first_worker + each) +
              ".log");
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
