#ifndef BORAGEHILL_PLATFORM_TEST_SCRIPTED_SERVER_HPP
#define BORAGEHILL_PLATFORM_TEST_SCRIPTED_SERVER_HPP

#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <mutex>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

#include <boragehill/endpoint.hpp>

namespace boragehill::test {

/// What becomes of a connection once the script's bytes are out.
enum class after_bytes { cut, keep_open };

/// How much of a request a scripted server reads before it answers.
enum class request_read { whole, first_byte };

/// The bytes that a scripted server answers with.
struct script {
  std::string bytes;
  after_bytes then = after_bytes::keep_open;
  /// Sends the body's bytes one by one, with this pause after each.
  std::chrono::milliseconds pause{0};
  request_read read = request_read::whole;
};

/// Returns a whole answer with its length.
inline script answer(int status, const std::string& body) {
  return {.bytes = "HTTP/1.1 " + std::to_string(status) +
                   " X\r\nContent-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body};
}

/// Answers each connection's request with just the bytes of a script and
/// keeps what it was sent.
class scripted_server {
 public:
  explicit scripted_server(script told) : told(std::move(told)) {
    this->listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* raw = reinterpret_cast<sockaddr*>(&name);
    socklen_t size = sizeof(name);
    const bool listens =
        bind(this->listener, raw, size) == 0 && listen(this->listener, 8) == 0;
    if (!listens) std::abort();
    getsockname(this->listener, raw, &size);
    this->port = ntohs(name.sin_port);
    this->server = std::thread([this] { this->serve(); });
  }

  ~scripted_server() {
    shutdown(this->listener, SHUT_RDWR);
    this->server.join();
    close(this->listener);
  }

  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;

  endpoint address() const { return {"127.0.0.1", this->port}; }

  /// Returns the requests so far, head and body.
  std::vector<std::string> requests() {
    const std::scoped_lock lock(this->mutex);
    return this->received;
  }

 private:
  void serve() {
    for (;;) {
      const int peer = accept(this->listener, nullptr, nullptr);
      if (peer < 0) return;
      this->converse(peer);
      close(peer);
    }
  }

  void converse(int peer) {
    const std::string request = this->read_request(peer);
    if (request.empty()) return;
    {
      const std::scoped_lock lock(this->mutex);
      this->received.push_back(request);
    }
    this->write(peer);
    if (this->told.then == after_bytes::cut) return;
    char byte = 0;
    while (recv(peer, &byte, 1, 0) > 0) {
    }
  }

  std::string read_request(int peer) const {
    std::string text;
    char byte = 0;
    if (this->told.read == request_read::first_byte) {
      return recv(peer, &byte, 1, 0) == 1 ? std::string(1, byte) : text;
    }
    while (text.find("\r\n\r\n") == std::string::npos) {
      if (recv(peer, &byte, 1, 0) <= 0) return {};
      text += byte;
    }
    const auto head = text.size();
    const std::string name = "Content-Length: ";
    const auto at = text.find(name);
    if (at == std::string::npos) return text;
    const auto length = std::stoul(text.substr(at + name.size()));
    while (text.size() < head + length && recv(peer, &byte, 1, 0) > 0) {
      text += byte;
    }
    return text;
  }

  void write(int peer) const {
    const std::string& bytes = this->told.bytes;
    const auto head_end = bytes.find("\r\n\r\n");
    const bool is_slow =
        this->told.pause.count() > 0 && head_end != std::string::npos;
    const std::size_t at_once = is_slow ? head_end + 4 : bytes.size();
    send(peer, bytes.data(), at_once, MSG_NOSIGNAL);
    for (const char& byte : bytes.substr(at_once)) {
      if (send(peer, &byte, 1, MSG_NOSIGNAL) < 0) return;
      std::this_thread::sleep_for(this->told.pause);
    }
  }

  script told;
  int listener = -1;
  std::uint16_t port = 0;
  std::mutex mutex;
  std::vector<std::string> received;
  std::thread server;
};

/// Returns an address on loopback where nobody listens.
inline endpoint closed_address() {
  const scripted_server gone(script{});
  return gone.address();
}

}  // namespace boragehill::test

#endif  // BORAGEHILL_PLATFORM_TEST_SCRIPTED_SERVER_HPP
