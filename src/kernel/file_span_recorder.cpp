#include "kernel/file_span_recorder.hpp"

#include "kernel/span_record.hpp"

namespace boragehill::kernel {

file_span_recorder::file_span_recorder(const std::string& path)
    : file(path, std::ios::app) {}

void file_span_recorder::record(const span_record& finished) {
  this->file << finished.to_json() << '\n';
  this->file.flush();
}

}  // namespace boragehill::kernel
