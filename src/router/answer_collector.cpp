#include "router/answer_collector.hpp"

#include <variant>

namespace boragehill::router {

bool answer_collector::feed(std::string_view bytes) {
  const auto fed = this->decoder.feed(bytes, [this](wire::answer_frame&& f) {
    this->take(f);
    return true;
  });
  return fed.has_value();
}

void answer_collector::take(const wire::answer_frame& frame) {
  if (const auto* head = std::get_if<wire::frame_head>(&frame)) {
    this->answer.status = head->status;
    this->answer.content_type = head->content_type;
  }
  if (const auto* piece = std::get_if<wire::frame_piece>(&frame)) {
    this->digest.add(piece->bytes);
    this->answer.body += piece->bytes;
  }
  if (const auto* end = std::get_if<wire::frame_end>(&frame)) {
    this->is_whole = this->digest.matches(*end);
  }
}

std::optional<whole_answer> answer_collector::whole() const {
  if (!this->is_whole) return std::nullopt;
  return this->answer;
}

}  // namespace boragehill::router
