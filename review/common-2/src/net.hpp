#ifndef BORAGEHILL_REVIEW_NET_HPP
#define BORAGEHILL_REVIEW_NET_HPP

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>

namespace review {

/// Milliseconds of the steady clock.
inline std::int64_t now_ms() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

inline sockaddr_in address_of(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// \return A listening socket; -1 if the address can't be had.
inline int listen_on(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto address = address_of(ip, port);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address);
  if (::bind(fd, raw, sizeof(address)) != 0) return -1;
  return ::listen(fd, 128) == 0 ? fd : -1;
}

/// \param receive_buffer Bytes that the kernel holds unread; 0 for its own.
/// \return A connected socket; -1 if nobody listens.
inline int connect_to(const std::string& ip, int port, int receive_buffer = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const auto address = address_of(ip, port);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address);
  if (::connect(fd, raw, sizeof(address)) == 0) return fd;
  ::close(fd);
  return -1;
}

/// \return False if the connection was lost.
inline bool send_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

/// How reading ended.
enum class ending { whole, closed, reset, timed_out, malformed };

inline const char* name_of(ending end) {
  switch (end) {
    case ending::whole:
      return "whole";
    case ending::closed:
      return "closed";
    case ending::reset:
      return "reset";
    case ending::timed_out:
      return "timed out";
    case ending::malformed:
      return "malformed";
  }
  return "?";
}

/// A request or an answer.
struct message {
  std::string first_line;
  /// By name in lower case.
  std::map<std::string, std::string> fields;
  std::string body;
  ending end = ending::whole;

  std::string field(const std::string& name) const {
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? std::string() : found->second;
  }
  int status() const {
    const auto space = this->first_line.find(' ');
    if (space == std::string::npos) return 0;
    return std::atoi(this->first_line.c_str() + space);
  }
};

/// Reads messages of HTTP/1.1 from a connection.
class reader {
 public:
  explicit reader(int fd) : fd(fd) {}

  /// Reading gives up after so long without a byte.
  void set_limit(int milliseconds) const {
    const timeval limit{.tv_sec = milliseconds / 1000,
                        .tv_usec = milliseconds % 1000 * 1000};
    ::setsockopt(this->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }

  /// Reads the first line and the fields.
  message read_head() {
    message found;
    if (!this->line(found.first_line)) return this->ended(found);
    std::string text;
    while (this->line(text)) {
      if (text.empty()) return found;
      const auto colon = text.find(':');
      if (colon == std::string::npos) break;
      std::string name = text.substr(0, colon);
      for (char& each : name) each = static_cast<char>(std::tolower(each));
      const auto value = text.find_first_not_of(' ', colon + 1);
      found.fields[name] =
          value == std::string::npos ? std::string() : text.substr(value);
    }
    return this->ended(found);
  }

  /// Reads the body after the head of a request or of an answer.
  void read_body(message& of, bool is_answer) {
    const int status = is_answer ? of.status() : 0;
    if (status == 204 || status == 304) return;
    if (of.field("transfer-encoding") == "chunked") return this->chunks(of);
    const auto length = of.field("content-length");
    if (length.empty() && !is_answer) return;
    std::size_t left = length.empty() ? SIZE_MAX : std::stoull(length);
    while (left > 0) {
      if (this->buffer.empty() && !this->fill()) {
        if (length.empty() && this->why == ending::closed) return;
        of.end = this->why;
        return;
      }
      const auto part = this->buffer.substr(0, left);
      of.body += part;
      this->buffer.erase(0, part.size());
      left -= part.size();
    }
  }

  /// Reads an answer.
  message read_answer() {
    auto found = this->read_head();
    if (found.end != ending::whole) {
      note("no answer", found);
      return found;
    }
    if (found.first_line.rfind("HTTP/1.", 0) != 0) {
      found.end = ending::malformed;
      note("no answer", found);
      return found;
    }
    this->read_body(found, true);
    note("answered", found);
    return found;
  }

  /// Records an answer.
  static void note(const char* what, const message& found) {
    std::printf("%lld %s %s %s, %zu bytes, ends: %s\n",
                static_cast<long long>(now_ms()), what,
                found.field("boragehill-attempt-id").c_str(),
                found.first_line.c_str(), found.body.size(),
                name_of(found.end));
    std::fflush(stdout);
  }

  /// \return Bytes that were read and belong to no message yet.
  const std::string& unread() const { return this->buffer; }

 private:
  message ended(message& of) const {
    of.end = this->why;
    return of;
  }

  bool fill() {
    char bytes[16384];
    const auto size = ::recv(this->fd, bytes, sizeof(bytes), 0);
    if (size > 0) {
      this->buffer.append(bytes, static_cast<std::size_t>(size));
      return true;
    }
    this->why = size == 0                                 ? ending::closed
                : errno == EAGAIN || errno == EWOULDBLOCK ? ending::timed_out
                                                          : ending::reset;
    return false;
  }

  bool line(std::string& text) {
    auto end = this->buffer.find("\r\n");
    while (end == std::string::npos) {
      if (!this->fill()) return false;
      end = this->buffer.find("\r\n");
    }
    text = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return true;
  }

  void chunks(message& of) {
    std::string text;
    while (this->line(text)) {
      std::size_t left = std::strtoull(text.c_str(), nullptr, 16);
      const bool last = left == 0;
      left += 2;
      while (this->buffer.size() < left) {
        if (!this->fill()) {
          of.body += this->buffer;
          of.end = this->why;
          return;
        }
      }
      of.body += this->buffer.substr(0, left - 2);
      this->buffer.erase(0, left);
      if (last) return;
    }
    of.end = this->why;
  }

  int fd;
  std::string buffer;
  ending why = ending::whole;
};

/// \return The head of a request of a caller, with its body if it has one.
inline std::string request_text(const std::string& method,
                                const std::string& target,
                                const std::string& attempt, int deadline_ms,
                                const std::string& more = {},
                                const std::string& body = {}) {
  std::string text = method + ' ' + target + " HTTP/1.1\r\n";
  text += "Host: sheets.example\r\nBoragehill-Attempt-Id: " + attempt + "\r\n";
  text += "Boragehill-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  text += more;
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

/// Sends a request and records its first line, its attempt and its size.
inline bool send_request(int fd, const std::string& text) {
  const std::string attempt_name = "Boragehill-Attempt-Id: ";
  const auto at = text.find(attempt_name) + attempt_name.size();
  std::printf("%lld sent %s %s, %zu bytes\n", static_cast<long long>(now_ms()),
              text.substr(at, text.find("\r\n", at) - at).c_str(),
              text.substr(0, text.find("\r\n")).c_str(), text.size());
  std::fflush(stdout);
  return send_all(fd, text);
}

}  // namespace review

#endif  // BORAGEHILL_REVIEW_NET_HPP
