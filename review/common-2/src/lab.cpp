#include "lab.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {

namespace {

const auto begun = clock::now();

std::string variable(const char* name, const char* otherwise) {
  const char* value = std::getenv(name);
  return value ? value : otherwise;
}

std::FILE* record() {
  static std::FILE* file =
      std::fopen(variable("RECORD", "record.txt").c_str(), "w");
  return file;
}

sockaddr_in address_of(const std::string& ip, int port) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &name.sin_addr);
  return name;
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char each) { return std::tolower(each); });
  return text;
}

/// Reads a head off a text.
bool take_head(std::string& text, message& into) {
  const auto end = text.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  std::istringstream lines(text.substr(0, end));
  std::string line;
  std::getline(lines, line);
  if (!line.empty() && line.back() == '\r') line.pop_back();
  into.start = line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    into.headers[lower(line.substr(0, colon))] = value;
  }
  text.erase(0, end + 4);
  return true;
}

/// Takes whole chunks off a text.
/// \return 1 if the last one was there, -1 if it is no chunk, else 0.
int take_chunks(std::string& text, std::string& body) {
  for (;;) {
    const auto end = text.find("\r\n");
    if (end == std::string::npos) return 0;
    char* after = nullptr;
    const auto size = std::strtoul(text.c_str(), &after, 16);
    if (after == text.c_str()) return -1;
    if (text.size() < end + 2 + size + 2) return 0;
    body += text.substr(end + 2, size);
    text.erase(0, end + 2 + size + 2);
    if (size == 0) return 1;
  }
}

}  // namespace

double now_ms() {
  return std::chrono::duration<double, std::milli>(clock::now() - begun)
      .count();
}

void sleep_ms(long ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

bool trouble() {
  return variable("TROUBLE", "1") != "0";
}

void note(const char* format, ...) {
  static std::mutex mutex;
  const std::scoped_lock lock(mutex);
  std::fprintf(record(), "%9.1f ", now_ms());
  va_list values;
  va_start(values, format);
  std::vfprintf(record(), format, values);
  va_end(values);
  std::fprintf(record(), "\n");
  std::fflush(record());
}

void note_file(const std::string& path) {
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) note("%s", line.c_str());
}

void finish(int verdict, const std::string& why) {
  note("verdict %d: %s", verdict, why.c_str());
  std::printf("verdict %d: %s\n", verdict, why.c_str());
  std::fflush(nullptr);
  throw verdict;
}

child::child(std::vector<std::string> words, std::string log)
    : words(std::move(words)), log(std::move(log)) {}

child::~child() {
  this->kill();
}

void child::start() {
  const auto parent = ::getpid();
  this->pid = ::fork();
  if (this->pid != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(2);
  const int out =
      ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(out, 1);
  ::dup2(out, 2);
  for (int each = 3; each < 1024; ++each) ::close(each);
  std::vector<char*> raw;
  for (auto& each : this->words) raw.push_back(each.data());
  raw.push_back(nullptr);
  ::execv(raw[0], raw.data());
  ::_exit(127);
}

void child::signal(int number) const {
  if (this->pid > 0) ::kill(this->pid, number);
}

void child::kill() {
  if (this->pid <= 0) return;
  ::kill(this->pid, SIGKILL);
  ::waitpid(this->pid, nullptr, 0);
  this->pid = -1;
}

bool child::wait(milliseconds limit) {
  const auto until = clock::now() + limit;
  while (clock::now() < until) {
    if (!this->running()) return true;
    sleep_ms(5);
  }
  return !this->running();
}

bool child::running() {
  if (this->pid <= 0) return false;
  int status = 0;
  if (::waitpid(this->pid, &status, WNOHANG) == this->pid) {
    note("process %d ended, status %d", this->pid, status);
    this->pid = -1;
    return false;
  }
  return true;
}

std::string message::header(const std::string& name) const {
  const auto found = this->headers.find(lower(name));
  return found == this->headers.end() ? std::string() : found->second;
}

bool send_all(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto size =
        ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

client::~client() {
  this->close();
}

void client::close() {
  if (this->socket >= 0) ::close(this->socket);
  this->socket = -1;
}

bool client::connect(const std::string& ip, int port, milliseconds limit) {
  this->close();
  this->buffer.clear();
  this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const auto name = address_of(ip, port);
  if (::connect(this->socket, reinterpret_cast<const sockaddr*>(&name),
                sizeof(name)) != 0) {
    pollfd wait{.fd = this->socket, .events = POLLOUT, .revents = 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS ||
        ::poll(&wait, 1, static_cast<int>(limit.count())) <= 0 ||
        ::getsockopt(this->socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      this->close();
      return false;
    }
  }
  ::fcntl(this->socket, F_SETFL, ::fcntl(this->socket, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(this->socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return true;
}

bool client::send(const std::string& bytes) {
  return send_all(this->socket, bytes);
}

outcome client::receive(clock::time_point until, bool bodiless) {
  outcome seen;
  seen.begun = now_ms();
  bool has_head = false;
  bool chunked = false;
  long length = -1;
  const auto done = [&](bool complete, const char* end) {
    seen.complete = complete;
    seen.end = end;
    seen.ended = now_ms();
    return seen;
  };
  for (;;) {
    if (!has_head && take_head(this->buffer, seen.answer)) {
      has_head = true;
      if (!seen.answer.start.starts_with("HTTP/1.1 ")) {
        return done(false, "no answer in the protocol");
      }
      seen.status = std::atoi(seen.answer.start.c_str() + 9);
      if (seen.status < 200) {
        has_head = false;
        seen.answer = {};
        continue;
      }
      // These have no body, whatever their head says.
      if (bodiless || seen.status == 204 || seen.status == 304) {
        return done(true, "answered");
      }
      chunked = lower(seen.answer.header("transfer-encoding")) == "chunked";
      const auto told = seen.answer.header("content-length");
      if (!told.empty()) length = std::atol(told.c_str());
    }
    if (has_head && chunked) {
      const int step = take_chunks(this->buffer, seen.answer.body);
      if (step < 0) return done(false, "no chunk");
      if (step > 0) return done(true, "answered");
    }
    if (has_head && !chunked) {
      const auto most = length < 0 ? this->buffer.size()
                                   : static_cast<std::size_t>(length) -
                                         seen.answer.body.size();
      seen.answer.body += this->buffer.substr(0, most);
      this->buffer.erase(0, std::min(most, this->buffer.size()));
      if (length >= 0 &&
          seen.answer.body.size() == static_cast<std::size_t>(length)) {
        return done(true, "answered");
      }
    }
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
    pollfd wait{.fd = this->socket, .events = POLLIN, .revents = 0};
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0) {
      return done(false, "no whole answer in time");
    }
    char bytes[16384];
    const auto size = ::recv(this->socket, bytes, sizeof(bytes), 0);
    if (size < 0) return done(false, "reset");
    if (size == 0) {
      const bool whole = has_head && !chunked && length < 0;
      return done(whole, whole ? "ended with its connection" : "closed");
    }
    this->buffer.append(bytes, static_cast<std::size_t>(size));
  }
}

std::string request(const std::string& method, const std::string& host,
                    const std::string& path,
                    const std::map<std::string, std::string>& headers,
                    const std::string& body) {
  std::string text =
      method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  if (method != "GET" && method != "HEAD") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

worker::worker(std::string own_ip, int own_port, handler own_handle)
    : ip(std::move(own_ip)), port(own_port), handle(std::move(own_handle)) {
  this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto name = address_of(this->ip, this->port);
  if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&name),
             sizeof(name)) != 0 ||
      ::listen(this->listener, 256) != 0) {
    finish(2, "a worker can't listen");
  }
  this->acceptor = std::thread([this] {
    for (;;) {
      const int peer =
          ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (peer < 0) return;
      const int yes = 1;
      ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
      const std::scoped_lock lock(this->mutex);
      if (this->stopped) {
        ::close(peer);
        return;
      }
      this->sockets.push_back(peer);
      this->threads.emplace_back([this, peer] { this->serve(peer); });
    }
  });
}

worker::~worker() {
  this->stop();
}

void worker::stop() {
  if (this->stopped.exchange(true)) return;
  ::shutdown(this->listener, SHUT_RDWR);
  this->acceptor.join();
  ::close(this->listener);
  std::vector<std::thread> open;
  {
    const std::scoped_lock lock(this->mutex);
    for (const int each : this->sockets) ::shutdown(each, SHUT_RDWR);
    open.swap(this->threads);
  }
  for (auto& each : open) each.join();
}

void worker::serve(int peer) {
  std::string buffer;
  bool kept = true;
  while (kept && !this->stopped) {
    message asked;
    bool closed = false;
    const auto more = [&] {
      char bytes[16384];
      const auto size = ::recv(peer, bytes, sizeof(bytes), 0);
      if (size <= 0) return false;
      buffer.append(bytes, static_cast<std::size_t>(size));
      return true;
    };
    while (!take_head(buffer, asked)) {
      if (!more()) {
        closed = true;
        break;
      }
    }
    if (closed) break;
    const auto length = static_cast<std::size_t>(
        std::atol(asked.header("content-length").c_str()));
    while (buffer.size() < length && !closed) closed = !more();
    if (closed) break;
    asked.body = buffer.substr(0, length);
    buffer.erase(0, length);
    kept = this->handle(asked, peer);
  }
  const std::scoped_lock lock(this->mutex);
  std::erase(this->sockets, peer);
  ::close(peer);
}

fleet::fleet() {
  constexpr int most_machines = 12;
  this->folder = std::filesystem::temp_directory_path().string() + "/review-" +
                 std::to_string(::getpid());
  std::filesystem::create_directories(this->folder);
  // Below the range from which the kernel takes ports by itself.
  for (int tries = 0; tries < 50 && this->base == 0; ++tries) {
    const int from = 20000 + 8 * ((::getpid() * 7 + tries * 131) % 1400);
    bool free = true;
    for (int machine = 1; machine <= most_machines; ++machine) {
      for (int each = 0; each < 8 && free; ++each) {
        const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto name = address_of(this->ip(machine), from + each);
        free = ::bind(probe, reinterpret_cast<const sockaddr*>(&name),
                      sizeof(name)) == 0;
        ::close(probe);
      }
    }
    if (free) this->base = from;
  }
  if (this->base == 0) finish(2, "no free ports");
}

fleet::~fleet() {
  this->children.clear();
  std::error_code ignored;
  if (variable("KEEP", "").empty()) {
    std::filesystem::remove_all(this->folder, ignored);
  }
}

std::string fleet::ip(int machine) const {
  return "127.0.3." + std::to_string(machine);
}

void fleet::start_store() {
  auto store = std::make_unique<child>(
      std::vector<std::string>{variable("REVIEW_STORE", ""), this->ip(1),
                               std::to_string(this->base)},
      this->folder + "/store.log");
  store->start();
  this->children.push_back(std::move(store));
  for (int tries = 0; tries < 250; ++tries) {
    client probe;
    if (probe.connect(this->ip(1), this->base, milliseconds(100))) return;
    sleep_ms(20);
  }
  finish(2, "the store doesn't start");
}

void fleet::post(const std::string& path, const std::string& body) {
  client call;
  if (!call.connect(this->ip(1), this->base, milliseconds(1000)) ||
      !call.send(request(
          "POST", "store", path,
          {{"Content-Type", "application/json"}, {"Connection", "close"}},
          body))) {
    finish(2, "the store can't be reached");
  }
  const auto seen = call.receive(clock::now() + milliseconds(3000));
  if (seen.status != 200) finish(2, "the store refuses a write");
}

void fleet::put(const std::string& table, const std::string& key,
                const std::string& value) {
  this->post("/test/put", R"({"table":")" + table + R"(","key":")" + key +
                              R"(","value":")" + base64(value) + R"("})");
}

void fleet::drop(const std::string& table, const std::string& key) {
  this->post("/test/put", R"({"table":")" + table + R"(","key":")" + key +
                              R"(","deleted":true})");
}

std::string fleet::entry(const std::string& service, int machine, int slots,
                         long left_ms) const {
  // Of this lifetime, whatever is written of it later.
  static std::map<int, long> starts;
  if (left_ms == 0) {
    starts[machine] = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  }
  const std::string state =
      left_ms == 0 ? R"("ready")"
                   : R"("draining","remainingMs":)" + std::to_string(left_ms);
  return R"({"service":")" + service + R"(","addr":")" + this->ip(machine) +
         ":" + std::to_string(this->base + app) +
         R"(","zone":"zone-1","version":"v1","seq":0,"state":)" + state +
         R"(,"slots":)" + std::to_string(slots) + R"(,"born":)" +
         std::to_string(starts[machine]) + "}";
}

child& fleet::add_router(int machine) {
  const std::string own = this->ip(machine);
  const std::string name = "router-" + std::to_string(machine);
  const auto at = [&](int offset) {
    return own + ":" + std::to_string(this->base + offset);
  };
  // As deploy/router.toml is filled in for the sites.
  const std::string path = this->folder + "/" + name + ".toml";
  std::ofstream(path) << "[process]\nid = \"" << name
                      << "\"\nfailure_domain = \"zone-1\"\naddress = \"" << own
                      << "\"\nlink_port = " << this->base + link
                      << "\nlink_mbps = " << variable("LINK_MBPS", "1000.0")
                      << "\nmemory_mb = " << variable("MEMORY_MB", "260")
                      << "\n\n[store]\nplugin = \"rows\"\naddress = \""
                      << this->ip(1) << ":" << this->base
                      << "\"\n\n[entry]\nlisten = \"" << at(front)
                      << "\"\nready = \"" << at(ready)
                      << "\"\nstop_within_s = 8\n\n[retries]\nratio = 0.2\n"
                      << "extra = 54\nwindow_s = 10\n";
  this->children.push_back(std::make_unique<child>(
      std::vector<std::string>{variable("BORAGEHILL", ""), "router",
                               "--settings", path},
      this->folder + "/" + name + ".log"));
  return *this->children.back();
}

bool fleet::is_ready(int machine) {
  client call;
  if (!call.connect(this->ip(machine), this->base + ready, milliseconds(300))) {
    return false;
  }
  call.send(request("GET", "ready", "/readyz", {{"Connection", "close"}}, {}));
  return call.receive(clock::now() + milliseconds(1000)).status == 200;
}

bool fleet::wait_ready(int machine, milliseconds limit) {
  const auto until = clock::now() + limit;
  while (clock::now() < until) {
    if (this->is_ready(machine)) return true;
    sleep_ms(20);
  }
  return false;
}

std::string base64(const std::string& bytes) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    unsigned group = 0;
    const auto count = std::min<std::size_t>(3, bytes.size() - at);
    for (std::size_t each = 0; each < 3; ++each) {
      group =
          group << 8U |
          (each < count ? static_cast<unsigned char>(bytes[at + each]) : 0U);
    }
    for (std::size_t each = 0; each < 4; ++each) {
      text += each <= count ? digits[group >> (18U - 6U * each) & 63U] : '=';
    }
  }
  return text;
}

}  // namespace lab
