#include "process-test/process.hpp"

#include <chrono>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace boragehill::process_test {

namespace {

constexpr std::chrono::seconds stop_limit{10};
constexpr std::chrono::milliseconds pause{10};

}  // namespace

process::process(std::vector<std::string> command, std::string log)
    : arguments(std::move(command)), log_file(std::move(log)) {}

process::~process() {
  this->signal(SIGCONT);
  this->stop();
}

void process::start() {
  const std::scoped_lock lock(this->mutex);
  if (this->child != 0 && !this->reap(WNOHANG)) return;
  std::vector<char*> texts;
  for (std::string& argument : this->arguments) {
    texts.push_back(argument.data());
  }
  texts.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                   this->log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A socket of ours that a child held would go on after we closed it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error = posix_spawn(&this->child, texts[0], &actions, nullptr,
                                texts.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) this->child = 0;
}

void process::signal(int number) {
  const std::scoped_lock lock(this->mutex);
  if (this->child == 0 || this->reap(WNOHANG)) return;
  ::kill(this->child, number);
}

void process::kill() {
  const std::scoped_lock lock(this->mutex);
  if (this->child == 0 || this->reap(WNOHANG)) return;
  ::kill(this->child, SIGKILL);
  this->reap(0);
}

bool process::stop() {
  this->signal(SIGTERM);
  const auto limit = std::chrono::steady_clock::now() + stop_limit;
  while (std::chrono::steady_clock::now() < limit) {
    if (!this->is_running()) return true;
    std::this_thread::sleep_for(pause);
  }
  this->kill();
  return false;
}

bool process::is_running() {
  const std::scoped_lock lock(this->mutex);
  return this->child != 0 && !this->reap(WNOHANG);
}

pid_t process::id() {
  const std::scoped_lock lock(this->mutex);
  return this->child;
}

long process::status_of(const std::string& field) {
  std::ifstream file("/proc/" + std::to_string(this->id()) + "/status");
  std::string name;
  while (file >> name) {
    long value = 0;
    if (name == field + ":" && file >> value) return value;
    file.clear();
    std::getline(file, name);
  }
  return 0;
}

bool process::reap(int options) {
  int status = 0;
  if (waitpid(this->child, &status, options) == 0) return false;
  this->child = 0;
  return true;
}

}  // namespace boragehill::process_test
