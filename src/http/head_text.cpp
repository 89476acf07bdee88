#include "http/head_text.hpp"

#include <absl/strings/str_cat.h>
#include <http_parser.h>

namespace boragehill::http {

namespace {

void append_headers(std::string& text, const header_list& headers) {
  for (const auto& each : headers.all()) {
    text += each.name;
    text += ": ";
    text += each.value;
    text += "\r\n";
  }
  text += "\r\n";
}

}  // namespace

std::string request_head(std::string_view method, std::string_view target,
                         const header_list& headers) {
  std::string text(method);
  text += ' ';
  text += target;
  text += " HTTP/1.1\r\n";
  append_headers(text, headers);
  return text;
}

std::string answer_head(int status, const header_list& headers) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
  text += http_status_str(static_cast<http_status>(status));
  text += "\r\n";
  append_headers(text, headers);
  return text;
}

std::string chunk(std::string_view bytes) {
  std::string text = absl::StrCat(absl::Hex(bytes.size()), "\r\n");
  text += bytes;
  text += "\r\n";
  return text;
}

}  // namespace boragehill::http
