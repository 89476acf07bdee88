#include "http/message_parser.hpp"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <limits>
#include <utility>

namespace boragehill::http {

namespace {

constexpr int go_on = 0;
constexpr int stop_parsing = -1;
/// Tells http_parser that no body follows.
constexpr int skip_body = 1;
constexpr int first_final_status = 200;

}  // namespace

message_parser::message_parser(message_kind kind, std::size_t max_head_bytes)
    : kind(kind), checker(kind), max_head_bytes(max_head_bytes) {
  // The library's own limit is for the whole process; ours is counted here.
  http_parser_set_max_header_size(std::numeric_limits<int>::max());
  this->next();
}

message_parser& message_parser::owner(http_parser* raw) {
  return *static_cast<message_parser*>(raw->data);
}

http_parser_settings message_parser::make_callbacks() {
  http_parser_settings calls;
  http_parser_settings_init(&calls);
  calls.on_url = [](http_parser* raw, const char* at, std::size_t size) {
    auto& self = message_parser::owner(raw);
    self.current.target.append(at, size);
    self.count_head(size);
    return self.oversized ? stop_parsing : go_on;
  };
  calls.on_header_field = [](http_parser* raw, const char* at,
                             std::size_t size) {
    auto& self = message_parser::owner(raw);
    if (self.last_was_value) self.flush_header();
    self.last_was_value = false;
    self.field.append(at, size);
    self.count_head(size);
    return self.oversized ? stop_parsing : go_on;
  };
  calls.on_header_value = [](http_parser* raw, const char* at,
                             std::size_t size) {
    auto& self = message_parser::owner(raw);
    self.last_was_value = true;
    self.value.append(at, size);
    self.count_head(size);
    return self.oversized ? stop_parsing : go_on;
  };
  calls.on_headers_complete = [](http_parser* raw) {
    auto& self = message_parser::owner(raw);
    self.flush_header();
    if (!self.has_known_coding()) return stop_parsing;
    self.on_head();
    return self.lacks_body() ? skip_body : go_on;
  };
  calls.on_body = [](http_parser* raw, const char* at, std::size_t size) {
    message_parser::owner(raw).body.append(at, size);
    return go_on;
  };
  calls.on_message_complete = [](http_parser* raw) {
    message_parser::owner(raw).message_done = true;
    // Stops here, so that bytes of the next message stay unread.
    http_parser_pause(raw, 1);
    return go_on;
  };
  return calls;
}

std::size_t message_parser::feed(std::string_view bytes) {
  static const http_parser_settings calls = make_callbacks();
  if (bytes.empty() || this->message_done || this->broken) return 0;
  this->any_byte = true;
  if (!this->head_done) this->checker.feed(bytes);
  if (this->checker.failed()) {
    this->broken = true;
    this->oversized = this->checker.has_too_many_fields();
    return 0;
  }
  const std::size_t held = this->body.size();
  const std::size_t used =
      http_parser_execute(&this->raw, &calls, bytes.data(), bytes.size());
  const auto error = HTTP_PARSER_ERRNO(&this->raw);
  if (this->message_done) return used;
  if (error != HPE_OK || this->raw.upgrade) this->broken = true;
  this->count_framing(used, this->body.size() - held);
  return used;
}

void message_parser::count_framing(std::size_t bytes, std::size_t body_bytes) {
  // Names and values are counted as they are read, separators only here.
  constexpr std::size_t separator_share = 2;
  this->framing_bytes = body_bytes > 0 ? 0 : this->framing_bytes + bytes;
  if (this->framing_bytes > separator_share * this->max_head_bytes) {
    this->broken = true;
    this->oversized = !this->head_done;
  }
}

bool message_parser::finish() {
  if (this->message_done || this->broken || !this->head_done) return false;
  if (!this->current.unframed) return false;
  this->message_done = true;
  return true;
}

void message_parser::next() {
  http_parser_init(&this->raw, this->kind == message_kind::request
                                   ? HTTP_REQUEST
                                   : HTTP_RESPONSE);
  this->raw.data = this;
  this->checker.restart();
  this->current = {};
  this->body.clear();
  this->field.clear();
  this->value.clear();
  this->last_was_value = true;
  this->head_bytes = 0;
  this->framing_bytes = 0;
  this->head_done = false;
  this->message_done = false;
  this->broken = false;
  this->oversized = false;
  this->bodiless = false;
  this->any_byte = false;
}

std::string message_parser::take_body() {
  return std::exchange(this->body, {});
}

bool message_parser::has_known_coding() const {
  const auto& headers = this->current.headers.all();
  return std::all_of(headers.begin(), headers.end(), [](const auto& each) {
    if (!same_name(each.name, "Transfer-Encoding")) return true;
    const std::string coding(absl::StripTrailingAsciiWhitespace(each.value));
    return same_name(coding, "chunked");
  });
}

void message_parser::on_head() {
  this->head_done = true;
  if (this->kind == message_kind::request) {
    this->current.method =
        http_method_str(static_cast<http_method>(this->raw.method));
  } else {
    this->current.status = static_cast<int>(this->raw.status_code);
  }
  this->current.chunked = (this->raw.flags & F_CHUNKED) != 0;
  if (const auto* length = this->current.headers.find("Content-Length")) {
    if (!this->current.chunked) {
      this->current.content_length = std::stoull(*length);
    }
  }
  this->current.unframed = this->has_open_end();
  this->current.http11 = this->raw.http_minor > 0;
  this->current.keep_alive = http_should_keep_alive(&this->raw) != 0;
}

bool message_parser::lacks_body() const {
  const bool interim = this->kind == message_kind::answer &&
                       this->current.status < first_final_status;
  return this->bodiless || interim;
}

bool message_parser::has_open_end() const {
  constexpr int no_content_status = 204;
  constexpr int not_modified_status = 304;
  if (this->kind == message_kind::request || this->lacks_body()) return false;
  const int status = this->current.status;
  if (status == no_content_status || status == not_modified_status) {
    return false;
  }
  return !this->current.chunked && !this->current.content_length;
}

void message_parser::count_head(std::size_t bytes) {
  if (this->head_done) return;
  this->head_bytes += bytes;
  if (this->head_bytes > this->max_head_bytes) this->oversized = true;
}

void message_parser::flush_header() {
  // Trailers after a chunked body concern nobody here.
  if (!this->field.empty() && !this->head_done) {
    this->current.headers.add(this->field, this->value);
  }
  this->field.clear();
  this->value.clear();
}

}  // namespace boragehill::http
