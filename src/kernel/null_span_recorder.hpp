#ifndef BORAGEHILL_KERNEL_NULL_SPAN_RECORDER_HPP
#define BORAGEHILL_KERNEL_NULL_SPAN_RECORDER_HPP

#include "kernel/span_recorder.hpp"

namespace boragehill::kernel {

/// Drops every span; for processes that run without tracing.
class null_span_recorder final : public span_recorder {
 public:
  void record(const span_record&) override {}
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_NULL_SPAN_RECORDER_HPP
