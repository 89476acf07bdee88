#include "kernel/span_record.hpp"

#include <string_view>

#include "kernel/text_escape.hpp"

namespace boragehill::kernel {

namespace {

std::string quoted(std::string_view text) {
  return '"' + detail::escape_text(text) + '"';
}

}  // namespace

std::string span_record::to_json() const {
  std::string line = "{\"trace_id\":" + quoted(this->trace_id);
  line += ",\"span_id\":" + quoted(this->span_id);
  line += ",\"parent_id\":" + quoted(this->parent_id);
  line += ",\"name\":" + quoted(this->name);
  line += ",\"start_us\":" + std::to_string(this->start_us);
  line += ",\"duration_us\":" + std::to_string(this->duration_us);
  line += ",\"tags\":{";
  std::string_view separator;
  for (const auto& [key, value] : this->tags) {
    line += separator;
    line += quoted(key) + ':' + quoted(value);
    separator = ",";
  }
  return line + "}}";
}

}  // namespace boragehill::kernel
