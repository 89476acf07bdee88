#ifndef BORAGEHILL_PROCESS_TEST_PROCESS_HPP
#define BORAGEHILL_PROCESS_TEST_PROCESS_HPP

#include <csignal>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace boragehill::process_test {

/// One child process that can be ended and started again with the same
/// command. Thread safe; ends its child when it dies.
class process {
 public:
  /// \param arguments The program's path and its arguments.
  /// \param log_file Where its output is appended.
  process(std::vector<std::string> arguments, std::string log_file);
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  /// Starts the child unless it runs.
  void start();
  /// Sends a signal, if the child runs.
  void signal(int number);
  /// Sends SIGKILL and waits until the child is gone.
  void kill();
  /// Sends SIGTERM, after ten seconds SIGKILL.
  ///
  /// \return True if the child went by itself.
  bool stop();
  bool is_running();
  /// Returns the child's number, 0 if none runs.
  pid_t id();

  /// Returns a number of /proc/<id>/status, such as "VmRSS" or "Threads".
  long status_of(const std::string& field);

 private:
  bool reap(int options);

  std::vector<std::string> arguments;
  std::string log_file;
  std::mutex mutex;
  pid_t child = 0;
};

}  // namespace boragehill::process_test

#endif  // BORAGEHILL_PROCESS_TEST_PROCESS_HPP
