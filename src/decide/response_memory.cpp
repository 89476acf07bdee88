#include "decide/response_memory.hpp"

#include <algorithm>
#include <numeric>

namespace boragehill::decide {

void response_memory::on_change(std::size_t before, std::size_t after) {
  this->total = this->total - before + after;
  if (before == 0 && after > 0) ++this->holders;
  if (before > 0 && after == 0) --this->holders;
}

std::size_t response_memory::pause_limit() const {
  const std::size_t shared = this->bound / 2;
  const std::size_t part = shared / std::max<std::size_t>(this->holders, 1);
  return std::clamp(part, least_held, most_held);
}

std::vector<std::size_t> response_memory::choose_closed(
    const std::vector<held_response>& responses) const {
  std::vector<std::size_t> order(responses.size());
  std::iota(order.begin(), order.end(), std::size_t(0));
  std::sort(order.begin(), order.end(),
            [&](std::size_t one, std::size_t other) {
              const auto& left = responses[one];
              const auto& right = responses[other];
              if (left.last_taken != right.last_taken) {
                return left.last_taken < right.last_taken;
              }
              return left.bytes > right.bytes;
            });
  constexpr std::size_t spare_divisor = 10;
  const std::size_t allowed = this->bound - this->bound / spare_divisor;
  std::size_t left = this->total;
  std::vector<std::size_t> closed;
  for (const auto index : order) {
    if (left <= allowed) break;
    if (responses[index].bytes == 0) continue;
    left -= std::min(left, responses[index].bytes);
    closed.push_back(index);
  }
  return closed;
}

}  // namespace boragehill::decide
