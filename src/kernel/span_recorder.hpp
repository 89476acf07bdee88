#ifndef BORAGEHILL_KERNEL_SPAN_RECORDER_HPP
#define BORAGEHILL_KERNEL_SPAN_RECORDER_HPP

namespace boragehill::kernel {

struct span_record;

/// Where finished spans go. Called from one thread.
class span_recorder {
 public:
  virtual ~span_recorder() = default;

  /// Keeps one finished span.
  virtual void record(const span_record& finished) = 0;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_SPAN_RECORDER_HPP
