#ifndef BORAGEHILL_KERNEL_LINE_WRITER_HPP
#define BORAGEHILL_KERNEL_LINE_WRITER_HPP

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

#include <boragehill/time_point.hpp>

#include "kernel/bounded_ring.hpp"

namespace boragehill::kernel {

/// Writes log lines to a file descriptor from a thread of its own, so that no
/// caller ever waits for a full pipe. What goes beyond its bounds is left out
/// and counted.
class line_writer {
 public:
  /// The most lines a second; routine ones may take the first part only, so
  /// that a storm of them never hides what ended badly.
  static constexpr int routine_per_second = 400;
  static constexpr int all_per_second = 800;
  /// Lines that wait while the reader of the pipe is slow.
  static constexpr std::size_t capacity = 4096;

  explicit line_writer(int descriptor);
  line_writer(const line_writer&) = delete;
  line_writer& operator=(const line_writer&) = delete;
  ~line_writer();

  /// Takes a line in, without its end, from any thread.
  /// \param routine It may be left out before others are.
  void write(std::string line, bool routine);

  /// \return How many lines were left out so far.
  std::uint64_t dropped() const { return this->left_out; }

 private:
  bool within_rate(bool routine);
  void run();
  void put(const std::string& text) const;

  int descriptor;
  bounded_ring<std::string> lines;
  std::mutex mutex;
  time_point second_began;
  int in_second = 0;
  std::atomic<std::uint64_t> left_out{0};
  std::thread thread;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_LINE_WRITER_HPP
