#ifndef BORAGEHILL_REVIEW_COMMON_FLEET_HPP
#define BORAGEHILL_REVIEW_COMMON_FLEET_HPP

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <mutex>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

#include "net.hpp"
#include "store.hpp"

// A small deployment of real processes on loopback addresses: the store runs
// in this process, routers and agents are started as the deploy file says, and
// workers are processes of this program.
namespace review {

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int not_run = 2;

/// Ends the script if the case couldn't run.
[[noreturn]] inline void give_up(const std::string& why) {
  std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
  std::exit(not_run);
}

/// Writes what was sent, answered and run. Lines of several processes may go to
/// one file.
class record {
 public:
  record(const std::string& path, bool is_new)
      : file(::open(
            path.c_str(),
            O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | (is_new ? O_TRUNC : 0),
            0644)) {}
  record(const record&) = delete;
  record& operator=(const record&) = delete;
  ~record() { ::close(this->file); }

  void note(const std::string& line) const {
    const auto now = std::chrono::duration_cast<milliseconds>(
                         clock_type::now().time_since_epoch())
                         .count();
    const std::string text = std::to_string(now) + " " + line + "\n";
    (void)!::write(this->file, text.data(), text.size());
  }

 private:
  int file;
};

inline std::vector<std::string> lines_of(const std::string& path) {
  std::ifstream file(path);
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) lines.push_back(line);
  return lines;
}

/// Fills a template of `deploy/`: placeholders and sections without a value.
inline std::string filled(std::string text,
                          const std::map<std::string, std::string>& values) {
  std::size_t at = 0;
  while ((at = text.find("{{")) != std::string::npos) {
    const auto end = text.find("}}", at);
    const auto name = text.substr(at + 2, end - at - 2);
    if (name.starts_with('#')) {
      const auto close = "{{/" + name.substr(1) + "}}";
      const auto last = text.find(close, end);
      text.erase(at, last + close.size() - at);
      continue;
    }
    const auto found = values.find(name);
    if (found == values.end()) give_up("no value for " + name);
    text.replace(at, end + 2 - at, found->second);
  }
  return text;
}

class fleet {
 public:
  /// \param folder A temporary folder for settings and logs.
  /// \param machines How many addresses are needed, the store's included.
  fleet(std::string folder, int machines) : folder(std::move(folder)) {
    ::signal(SIGPIPE, SIG_IGN);
    ::alarm(115);
    this->choose_ports(machines);
    if (!this->rows.start(this->at(0, store_port))) give_up("no store");
  }
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;
  ~fleet() {
    for (const auto& [name, pid] : this->running) ::kill(pid, SIGKILL);
    for (const auto& [name, pid] : this->running) ::waitpid(pid, nullptr, 0);
  }

  store& platform() { return this->rows; }

  address front(int machine) const { return this->at(machine, front_port); }
  address app(int machine) const { return this->at(machine, app_port); }

  void start_router(int machine) { this->start_own("router", machine, {}); }
  void start_agent(int machine, const std::string& service) {
    this->start_own("agent", machine, service);
  }

  /// Runs a worker in a process of its own.
  void start_worker(const std::string& name, std::function<void()> run) {
    this->fork_process(name, [run = std::move(run)] {
      run();
      while (true) ::pause();
    });
  }

  void send_signal(const std::string& name, int number) {
    ::kill(this->running.at(name), number);
  }

  /// Kills a process and waits for its end.
  void kill(const std::string& name) {
    this->send_signal(name, SIGKILL);
    ::waitpid(this->running.at(name), nullptr, 0);
    this->running.erase(name);
  }

  /// \return True if the process has ended by itself.
  bool has_ended(const std::string& name) {
    const auto found = this->running.find(name);
    if (found == this->running.end()) return true;
    if (::waitpid(found->second, nullptr, WNOHANG) == 0) return false;
    this->running.erase(found);
    return true;
  }

  /// Waits until a router says that it is ready.
  void await_ready(int machine) {
    for (int tries = 0; tries < 200; ++tries) {
      const int made = connect_to(this->at(machine, ready_port));
      if (made >= 0) {
        connection asked(made);
        asked.set_limit(1000);
        asked.write("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
        const auto answer = read_message(asked, false);
        if (answer && answer->status() == 200) return;
      }
      sleep_ms(50);
    }
    give_up("router " + std::to_string(machine) + " is not ready");
  }

  void await_listening(const address& at) const {
    for (int tries = 0; tries < 200; ++tries) {
      const int made = connect_to(at);
      if (made >= 0) {
        ::close(made);
        return;
      }
      sleep_ms(20);
    }
    give_up("nobody listens at " + at.text());
  }

 private:
  static constexpr int store_port = 0;
  static constexpr int front_port = 1;
  static constexpr int ready_port = 2;
  /// The next one is for metrics.
  static constexpr int link_port = 3;
  static constexpr int app_port = 5;
  static constexpr int ports = 6;

  address at(int machine, int port) const {
    return {"127.0.1." + std::to_string(machine + 2), this->base + port};
  }

  bool are_free(int machines) const {
    for (int machine = 0; machine < machines; ++machine) {
      for (int port = 0; port < ports; ++port) {
        const int made = listen_at(this->at(machine, port));
        if (made < 0) return false;
        ::close(made);
      }
    }
    return true;
  }

  void choose_ports(int machines) {
    constexpr int first = 21000;
    constexpr int steps = 1000;
    for (int tries = 0; tries < 50; ++tries) {
      this->base = first + ports * ((::getpid() + 37 * tries) % steps);
      if (this->are_free(machines)) return;
    }
    give_up("no free ports");
  }

  void start_own(const std::string& role, int machine,
                 const std::string& service) {
    const auto name = role + "-" + std::to_string(machine);
    const std::map<std::string, std::string> values{
        {"node", name},
        {"zone", "zone-1"},
        {"ip", this->at(machine, 0).ip},
        {"portRange.0", std::to_string(this->base + link_port)},
        {"platform.addr", this->at(0, store_port).text()},
        {"listen.front", this->front(machine).text()},
        {"listen.ready", this->at(machine, ready_port).text()},
        {"app", this->app(machine).text()},
        {"service", service},
        {"limits.linkMbps", "1000.0"},
        {"limits.memoryMb", "260"},
        {"bounds.graceS", "8"},
        {"bounds.budgetRatio", "0.2"},
        {"bounds.budgetExtra", "54"},
        {"bounds.budgetWindowS", "10"}};
    std::ifstream source("deploy/" + role + ".toml");
    const std::string text{std::istreambuf_iterator<char>(source), {}};
    const auto settings = this->folder + "/" + name + ".toml";
    std::ofstream(settings) << filled(text, values);
    const auto log = this->folder + "/" + name + ".log";
    this->fork_process(name, [role, settings, log] {
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, STDOUT_FILENO);
      ::dup2(out, STDERR_FILENO);
      ::execl("target/boragehill", "target/boragehill", role.c_str(),
              "--settings", settings.c_str(), nullptr);
    });
  }

  /// \param run Called in the new process, which ends when it returns.
  void fork_process(const std::string& name, const std::function<void()>& run) {
    const pid_t pid = ::fork();
    if (pid < 0) give_up("no process for " + name);
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      run();
      ::_exit(not_run);
    }
    this->running[name] = pid;
  }

  std::string folder;
  int base = 0;
  /// Never destroyed: its threads run until the process ends.
  store& rows = *new store;
  std::map<std::string, pid_t> running;
};

/// One request on a connection of its own.
/// \param fields More header lines.
inline std::string request_text(const std::string& method,
                                const std::string& target,
                                const std::string& attempt, int deadline_ms,
                                const header_map& fields,
                                const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  text += "Host: valves.example\r\nBoragehill-Attempt-Id: " + attempt + "\r\n";
  text += "Boragehill-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  if (!body.empty() || method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

/// \return True unless the script shall run without its disruption.
inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

}  // namespace review

#endif  // BORAGEHILL_REVIEW_COMMON_FLEET_HPP
