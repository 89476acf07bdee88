// Starts the project's programs and small stand-ins on loopback addresses, and
// calls routers as clients do. No library beyond the system's.

#ifndef BORAGEHILL_REVIEW_LAB_HPP
#define BORAGEHILL_REVIEW_LAB_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace lab {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// \return Milliseconds since the start of this program.
double now_ms();
void sleep_ms(long ms);
/// \return False if TROUBLE=0: the case runs without its disruption.
bool trouble();

/// Writes a line to record.txt in the case's folder, with the time.
void note(const char* format, ...) __attribute__((format(printf, 1, 2)));
/// Writes the lines of a file there.
void note_file(const std::string& path);
/// Ends the program with a verdict: 0 held, 1 broken, 2 could not run.
[[noreturn]] void finish(int verdict, const std::string& why);

/// One process that this program started.
class child {
 public:
  child(std::vector<std::string> words, std::string log);
  ~child();
  child(const child&) = delete;
  child& operator=(const child&) = delete;
  void start();
  /// Sends a signal to it.
  void signal(int number) const;
  /// Kills it and waits for its end.
  void kill();
  /// \return True if it ended within the time.
  bool wait(milliseconds limit);
  bool running();
  pid_t id() const { return this->pid; }

 private:
  std::vector<std::string> words;
  std::string log;
  pid_t pid = -1;
};

/// A request or an answer, as far as it came.
struct message {
  std::string start;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  std::string header(const std::string& name) const;
};

/// What a client saw of one request.
struct outcome {
  int status = 0;
  message answer;
  /// Framed and whole.
  bool complete = false;
  /// How it ended, for the record.
  std::string end;
  double begun = 0;
  double ended = 0;
};

/// One connection of a client.
class client {
 public:
  ~client();
  client() = default;
  client(const client&) = delete;
  client& operator=(const client&) = delete;
  bool connect(const std::string& ip, int port, milliseconds limit);
  bool send(const std::string& bytes);
  /// Reads one answer.
  /// \param until When the client gives up.
  outcome receive(clock::time_point until, bool bodiless = false);
  /// \return Bytes that came behind the last answer.
  const std::string& rest() const { return this->buffer; }
  bool open() const { return this->socket >= 0; }
  void close();

 private:
  int socket = -1;
  std::string buffer;
};

std::string request(const std::string& method, const std::string& host,
                    const std::string& path,
                    const std::map<std::string, std::string>& headers,
                    const std::string& body);

/// A stand-in of a worker: one thread a connection.
class worker {
 public:
  /// What becomes of a request: writes to the socket.
  /// \return True if the connection is kept.
  using handler = std::function<bool(const message&, int socket)>;
  worker(std::string ip, int port, handler handle);
  ~worker();
  /// Closes its listener and all its connections.
  void stop();

 private:
  void serve(int socket);
  std::string ip;
  int port;
  handler handle;
  int listener = -1;
  std::thread acceptor;
  std::mutex mutex;
  std::vector<int> sockets;
  std::vector<std::thread> threads;
  std::atomic<bool> stopped = false;
};

bool send_all(int socket, const std::string& bytes);

/// One small deployment.
class fleet {
 public:
  fleet();
  ~fleet();
  std::string ip(int machine) const;
  int port(int offset) const { return this->base + offset; }
  void start_store();
  /// Writes what the operator or a worker writes.
  void put(const std::string& table, const std::string& key,
           const std::string& value);
  void drop(const std::string& table, const std::string& key);
  /// \return What a worker that starts now writes of itself.
  /// \param left_ms How much longer it is there; nothing is said if 0.
  std::string entry(const std::string& service, int machine, int slots,
                    long left_ms = 0) const;
  /// Adds a router on a machine of its own.
  child& add_router(int machine);
  bool wait_ready(int machine, milliseconds limit);
  bool is_ready(int machine);
  static constexpr int front = 1;
  static constexpr int ready = 2;
  static constexpr int link = 3;
  static constexpr int app = 5;
  std::string folder;

 private:
  void post(const std::string& path, const std::string& body);
  int base = 0;
  std::vector<std::unique_ptr<child>> children;
};

std::string base64(const std::string& bytes);

}  // namespace lab

#endif  // BORAGEHILL_REVIEW_LAB_HPP
