// A stand-in of a worker of a plain service. It runs what its target asks for:
//
//   .../small           a short answer
//   .../wait/MS         the same after MS milliseconds
//   .../large/BYTES     an answer of so many bytes, with its length
//   .../unframed/N      N lines, one each 100 ms, with neither a length nor
//                       chunks; the answer ends with its connection
//   .../events/N        an event stream of N events, in the same way
//   .../drafts/N        an event stream of N events in chunks, which goes on at
//                       Last-Event-Id; each event names the worker's software
//   .../busy            503, not run, with Retry-After: 5
//   .../document        a document with an ETag; 304 if the caller names it
//   .../gone            204, without a body
//
//   review_worker IP PORT ID SOFTWARE
//
// Each line on standard output says what it did with a request.

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

#include "net.hpp"

namespace {

std::string own_id;
std::string own_software;

void note(const char* what, const review::message& request) {
  std::printf("%lld %s %s %s\n", static_cast<long long>(review::now_ms()), what,
              request.field("boragehill-attempt-id").c_str(),
              request.first_line.c_str());
  std::fflush(stdout);
}

/// The head of an answer to a request that ran.
std::string head_of(const review::message& request, const std::string& status) {
  const auto attempt = request.field("boragehill-attempt-id");
  return "HTTP/1.1 " + status + "\r\nBoragehill-Attempt-Id: " + attempt +
         "\r\nBoragehill-Response-Stamp: stamp." + attempt + "\r\n";
}

bool send_whole(int fd, const review::message& request,
                const std::string& body) {
  return review::send_all(fd, head_of(request, "200 OK") +
                                  "Keep-Alive: timeout=5\r\nContent-Length: " +
                                  std::to_string(body.size()) + "\r\n\r\n" +
                                  body);
}

/// \param type What the answer holds: lines, or the events of a stream.
/// \return False if the connection is over.
bool send_unframed(int fd, const review::message& request, int pieces,
                   const std::string& type) {
  const bool events = type == "text/event-stream";
  review::send_all(fd, head_of(request, "200 OK") + "Content-Type: " + type +
                           "\r\nConnection: close\r\n\r\n");
  for (int piece = 1; piece <= pieces; ++piece) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const auto text = std::to_string(piece) + " of " + std::to_string(pieces);
    const auto event =
        "id: " + std::to_string(piece) + "\ndata: " + text + "\n\n";
    if (!review::send_all(fd, events ? event : "line " + text + "\n")) break;
  }
  return false;
}

bool send_draft(int fd, const review::message& request, int events) {
  if (!review::send_all(fd, head_of(request, "200 OK") +
                                "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  int event = std::atoi(request.field("last-event-id").c_str());
  while (++event <= events) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const auto text =
        "id: " + std::to_string(event) + "\ndata: by " + own_software + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    if (!review::send_all(fd, size + text + "\r\n")) return false;
  }
  return review::send_all(fd, "0\r\n\r\n");
}

bool send_document(int fd, const review::message& request) {
  const std::string tag = "ETag: \"v7\"\r\n";
  if (request.field("if-none-match") == "\"v7\"") {
    return review::send_all(fd, head_of(request, "304 Not Modified") +
                                    "Keep-Alive: timeout=5\r\n" + tag + "\r\n");
  }
  return review::send_all(fd, head_of(request, "200 OK") + tag +
                                  "Keep-Alive: timeout=5\r\n"
                                  "Content-Length: 10\r\n\r\ndatasheet\n");
}

/// \return False if the connection is over.
bool run(int fd, const review::message& request) {
  const auto& line = request.first_line;
  const auto target = line.substr(line.find(' ') + 1);
  const auto argument = [&](const std::string& name) {
    const auto at = target.find("/" + name + "/");
    if (at == std::string::npos) return -1;
    return std::atoi(target.c_str() + at + name.size() + 2);
  };
  if (const int bytes = argument("large"); bytes >= 0) {
    return send_whole(fd, request,
                      std::string(static_cast<std::size_t>(bytes), 'x'));
  }
  if (const int lines = argument("unframed"); lines >= 0) {
    return send_unframed(fd, request, lines, "text/plain");
  }
  if (const int events = argument("events"); events >= 0) {
    return send_unframed(fd, request, events, "text/event-stream");
  }
  if (const int events = argument("drafts"); events >= 0) {
    return send_draft(fd, request, events);
  }
  if (target.find("/document") != std::string::npos) {
    return send_document(fd, request);
  }
  if (target.find("/gone") != std::string::npos) {
    return review::send_all(fd, head_of(request, "204 No Content") +
                                    "Keep-Alive: timeout=5\r\n\r\n");
  }
  if (const int wait = argument("wait"); wait >= 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(wait));
  }
  return send_whole(fd, request, "done\n");
}

bool serve_one(int fd, review::reader& from) {
  auto request = from.read_head();
  if (request.end != review::ending::whole) return false;
  from.read_body(request, false);
  if (request.end != review::ending::whole) return false;
  if (request.first_line.find(" /healthz ") != std::string::npos) {
    return review::send_all(fd, "HTTP/1.1 200 OK\r\nBoragehill-Instance-Id: " +
                                    own_id + "\r\nContent-Length: 0\r\n\r\n");
  }
  if (request.field("boragehill-expect-instance") != own_id) {
    note("misdirected", request);
    return review::send_all(fd,
                            "HTTP/1.1 421 Misdirected Request\r\n"
                            "Boragehill-Not-Run: 1\r\n"
                            "Content-Length: 0\r\n\r\n");
  }
  if (request.first_line.find("/busy ") != std::string::npos) {
    note("turns away", request);
    return review::send_all(fd,
                            "HTTP/1.1 503 Service Unavailable\r\n"
                            "Boragehill-Attempt-Id: " +
                                request.field("boragehill-attempt-id") +
                                "\r\nBoragehill-Not-Run: 1\r\n"
                                "Retry-After: 5\r\n"
                                "Content-Length: 0\r\n\r\n");
  }
  note(("runs on " + own_software).c_str(), request);
  const bool goes_on = run(fd, request);
  note("answered", request);
  return goes_on;
}

void serve(int fd) {
  review::reader from(fd);
  from.set_limit(5000);
  while (serve_one(fd, from)) continue;
  ::close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  own_id = argv[3];
  own_software = argv[4];
  const int listener = review::listen_on(argv[1], std::atoi(argv[2]));
  if (listener < 0) return 2;
  while (true) {
    const int fd = ::accept(listener, nullptr, nullptr);
    if (fd >= 0) std::thread(serve, fd).detach();
  }
}
