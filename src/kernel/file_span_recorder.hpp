#ifndef BORAGEHILL_KERNEL_FILE_SPAN_RECORDER_HPP
#define BORAGEHILL_KERNEL_FILE_SPAN_RECORDER_HPP

#include <fstream>
#include <string>

#include "kernel/span_recorder.hpp"

namespace boragehill::kernel {

/// Appends each span to a file as one line of JSON.
class file_span_recorder final : public span_recorder {
 public:
  /// \param path The file, appended to. If it can't be opened, spans are lost.
  explicit file_span_recorder(const std::string& path);

  void record(const span_record& finished) override;

 private:
  std::ofstream file;
};

}  // namespace boragehill::kernel

#endif  // BORAGEHILL_KERNEL_FILE_SPAN_RECORDER_HPP
