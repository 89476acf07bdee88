#include "kernel/line_writer.hpp"

#include <cerrno>
#include <poll.h>
#include <unistd.h>
#include <utility>

#include "kernel/duty_support.hpp"

namespace boragehill::kernel {

line_writer::line_writer(int descriptor)
    : descriptor(descriptor), lines(capacity) {
  this->thread = std::thread([this] { this->run(); });
}

line_writer::~line_writer() {
  this->lines.close();
  this->thread.join();
}

void line_writer::write(std::string line, bool routine) {
  if (!this->within_rate(routine) || !this->lines.try_push(std::move(line))) {
    ++this->left_out;
  }
}

bool line_writer::within_rate(bool routine) {
  const std::lock_guard lock(this->mutex);
  const auto now = time_point::clock::now();
  if (now - this->second_began >= std::chrono::seconds(1)) {
    this->second_began = now;
    this->in_second = 0;
  }
  const int most = routine ? routine_per_second : all_per_second;
  if (this->in_second >= most) return false;
  ++this->in_second;
  return true;
}

void line_writer::run() {
  detail::name_this_thread("log");
  std::uint64_t told = 0;
  while (auto line = this->lines.pop()) {
    const auto dropped = this->left_out.load();
    if (dropped != told) {
      this->put("name=lines_left_out count=" + std::to_string(dropped - told) +
                '\n');
      told = dropped;
    }
    this->put(*line + '\n');
  }
}

void line_writer::put(const std::string& text) const {
  constexpr int wait_forever = -1;
  std::size_t done = 0;
  while (done < text.size()) {
    const auto written =
        ::write(this->descriptor, text.data() + done, text.size() - done);
    if (written > 0) {
      done += static_cast<std::size_t>(written);
      continue;
    }
    if (errno == EINTR) continue;
    // Nobody reads any more: there is no place left to say so.
    if (errno != EAGAIN) return;
    pollfd entry{.fd = this->descriptor, .events = POLLOUT, .revents = 0};
    ::poll(&entry, 1, wait_forever);
  }
}

}  // namespace boragehill::kernel
