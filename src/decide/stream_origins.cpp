#include "decide/stream_origins.hpp"

namespace boragehill::decide {

bool stream_origins::record(const std::string& stream,
                            const stream_origin& origin, time_point now) {
  const bool has_room =
      this->streams.size() < capacity || this->streams.contains(stream);
  if (!has_room) return false;
  const auto until = now + origin.lifetime;
  auto& known = this->streams[stream];
  if (known.until <= until) known = {.origin = origin, .until = until};
  return true;
}

std::optional<stream_origin> stream_origins::find(const std::string& stream,
                                                  time_point now) const {
  const auto found = this->streams.find(stream);
  if (found == this->streams.end() || found->second.until <= now) {
    return std::nullopt;
  }
  auto origin = found->second.origin;
  origin.lifetime = std::chrono::ceil<milliseconds>(found->second.until - now);
  return origin;
}

std::map<std::string, stream_origin> stream_origins::all(time_point now) const {
  std::map<std::string, stream_origin> known;
  for (const auto& [stream, each] : this->streams) {
    if (auto origin = this->find(stream, now)) known[stream] = *origin;
  }
  return known;
}

void stream_origins::drop_expired(time_point now) {
  std::erase_if(this->streams,
                [now](const auto& each) { return each.second.until <= now; });
}

}  // namespace boragehill::decide
