#include "agent/frame_sink.hpp"

#include <utility>

namespace boragehill::agent {

namespace {

/// Frames are bounded on the wire; longer pieces are cut.
constexpr std::size_t largest_piece = 1U << 20U;

}  // namespace

frame_sink::frame_sink(writer write, std::size_t keep_bytes, bool to_end)
    : write(std::move(write)),
      keep_bytes(keep_bytes),
      to_end(to_end),
      keeping(keep_bytes > 0) {}

bool frame_sink::head(int status, const std::string& content_type) {
  return this->send(
      wire::frame_head{.status = status, .content_type = content_type});
}

bool frame_sink::piece(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::string_view part = bytes.substr(0, largest_piece);
    bytes.remove_prefix(part.size());
    this->digest.add(part);
    if (!this->send(wire::frame_piece{std::string(part)})) return false;
  }
  return true;
}

void frame_sink::end() {
  this->send(this->digest.end());
}

void frame_sink::fail(const wire::frame_failure& failure) {
  this->send(failure);
}

bool frame_sink::send(const wire::answer_frame& frame) {
  const std::string bytes = wire::encode(frame);
  if (this->keeping && this->kept.size() + bytes.size() > this->keep_bytes) {
    this->keeping = false;
    this->kept = std::string{};
  }
  if (this->keeping) this->kept += bytes;
  if (this->router_there) this->router_there = this->write(bytes);
  return this->router_there || this->to_end;
}

}  // namespace boragehill::agent
