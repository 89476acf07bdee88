#ifndef BORAGEHILL_REVIEW_COMMON_NET_HPP
#define BORAGEHILL_REVIEW_COMMON_NET_HPP

#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

// Blocking sockets on loopback addresses and HTTP/1.1 messages, for the
// stand-ins and the clients of the review's scripts.
namespace review {

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::int64_t ms_since(clock_type::time_point begin) {
  return std::chrono::duration_cast<milliseconds>(clock_type::now() - begin)
      .count();
}

inline void sleep_ms(std::int64_t ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

struct address {
  std::string ip;
  int port = 0;

  std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in socket_address(const address& at) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(static_cast<std::uint16_t>(at.port));
  ::inet_pton(AF_INET, at.ip.c_str(), &raw.sin_addr);
  return raw;
}

struct less_name {
  bool operator()(const std::string& one, const std::string& other) const {
    return ::strcasecmp(one.c_str(), other.c_str()) < 0;
  }
};

using header_map = std::map<std::string, std::string, less_name>;

/// A request or an answer.
struct message {
  /// The first line, split at its spaces.
  std::string first;
  std::string second;
  header_map headers;
  std::string body;
  /// False if the connection ended before the message was whole.
  bool complete = false;

  int status() const { return std::atoi(second.c_str()); }
  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
  }
};

/// One connection, with the bytes that were read and not yet used.
class connection {
 public:
  explicit connection(int socket) : socket(socket) {
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { this->close(); }

  void close() {
    if (this->socket >= 0) ::close(std::exchange(this->socket, -1));
  }
  int descriptor() const { return this->socket; }

  /// Ends waiting for bytes after so long.
  void set_limit(std::int64_t ms) {
    const timeval limit{ms / 1000, (ms % 1000) * 1000};
    ::setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }

  /// Reads at most so many bytes a second; 0 is no bound.
  void set_pace(std::size_t bytes_per_s) { this->pace = bytes_per_s; }

  bool write(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const auto size = ::send(this->socket, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) return false;
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }

  /// \return False at the end of the stream, after a reset or at the limit.
  bool fill() {
    char buffer[16384];
    const std::size_t step = this->pace == 0 ? sizeof(buffer) : 8192;
    const auto size = ::recv(this->socket, buffer, step, 0);
    if (size <= 0) return false;
    this->bytes.append(buffer, static_cast<std::size_t>(size));
    if (this->pace > 0) {
      std::this_thread::sleep_for(std::chrono::microseconds(
          size * 1000000 / static_cast<std::int64_t>(this->pace)));
    }
    return true;
  }

  /// \return True if the peer has closed or reset it.
  bool has_ended() const {
    pollfd polled{this->socket, POLLRDHUP, 0};
    return ::poll(&polled, 1, 0) > 0 &&
           (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  std::string take(std::size_t size) {
    std::string taken = this->bytes.substr(0, size);
    this->bytes.erase(0, size);
    return taken;
  }
  const std::string& unused() const { return this->bytes; }

  std::optional<std::string> line() {
    std::size_t end = 0;
    while ((end = this->bytes.find("\r\n")) == std::string::npos) {
      if (!this->fill()) return std::nullopt;
    }
    auto text = this->take(end);
    this->take(2);
    return text;
  }

 private:
  int socket;
  std::size_t pace = 0;
  std::string bytes;
};

inline bool read_exactly(connection& from, std::size_t size,
                         std::string& body) {
  while (from.unused().size() < size) {
    if (from.fill()) continue;
    body += from.take(from.unused().size());
    return false;
  }
  body += from.take(size);
  return true;
}

inline bool read_chunks(connection& from, std::string& body) {
  while (true) {
    const auto head = from.line();
    if (!head) return false;
    const auto size = std::strtoul(head->c_str(), nullptr, 16);
    if (size == 0) return from.line().has_value();
    if (!read_exactly(from, size, body) || !from.line()) return false;
  }
}

/// Reads one message.
/// \param is_request Without a length it has no body; an answer without one
///     ends with its connection.
/// \return Nothing if the connection ended before the first line.
inline std::optional<message> read_message(connection& from, bool is_request) {
  const auto first = from.line();
  if (!first) return std::nullopt;
  message read;
  const auto one = first->find(' ');
  const auto two = first->find(' ', one + 1);
  read.first = first->substr(0, one);
  read.second = first->substr(one + 1, two - one - 1);
  while (true) {
    const auto line = from.line();
    if (!line) return read;
    if (line->empty()) break;
    const auto colon = line->find(':');
    auto value = line->substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    read.headers[line->substr(0, colon)] = value;
  }
  if (!is_request && read.status() < 200) return read_message(from, false);
  if (read.header("Transfer-Encoding") == "chunked") {
    read.complete = read_chunks(from, read.body);
  } else if (read.headers.contains("Content-Length")) {
    const auto size =
        std::strtoul(read.header("Content-Length").c_str(), nullptr, 10);
    read.complete = read_exactly(from, size, read.body);
  } else if (is_request) {
    read.complete = true;
  } else {
    while (from.fill()) continue;
    read.body = from.take(from.unused().size());
    read.complete = true;
  }
  return read;
}

/// \param receive_buffer Of the socket in bytes; 0 leaves the system's.
/// \param segment The longest segment in bytes, as on a link that isn't the
///     loopback; 0 leaves the system's.
/// \return The socket, or -1.
inline int connect_to(const address& peer, int receive_buffer = 0,
                      int segment = 0) {
  const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    ::setsockopt(made, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
  }
  if (segment > 0) {
    ::setsockopt(made, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
  }
  const auto raw = socket_address(peer);
  if (::connect(made, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) ==
      0) {
    return made;
  }
  ::close(made);
  return -1;
}

/// \return A listening socket, or -1 if the address can't be had.
inline int listen_at(const address& at) {
  const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto raw = socket_address(at);
  const bool bound =
      ::bind(made, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) == 0 &&
      ::listen(made, 512) == 0;
  if (bound) return made;
  ::close(made);
  return -1;
}

/// Serves each connection on a thread of its own, for the rest of the process.
inline void serve(int listener, std::function<void(connection&)> handle) {
  std::thread([listener, handle = std::move(handle)] {
    while (true) {
      const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) continue;
      std::thread([accepted, handle] {
        connection made(accepted);
        handle(made);
      }).detach();
    }
  }).detach();
}

inline std::string answer_text(int status, const header_map& headers,
                               const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace review

#endif  // BORAGEHILL_REVIEW_COMMON_NET_HPP
