#include "agent/attempt_target.hpp"

namespace boragehill::agent {

std::optional<attempt_target> attempt_target::parse(std::string_view text,
                                                    std::string_view adapter) {
  constexpr std::string_view model_prefix = "model:";
  constexpr std::string_view pool_prefix = "pool:";
  if (text.starts_with(model_prefix) && text.size() > model_prefix.size()) {
    return attempt_target{
        .model = std::string(text.substr(model_prefix.size())),
        .adapter = std::string(adapter)};
  }
  if (text.starts_with(pool_prefix) && text.size() > pool_prefix.size()) {
    return attempt_target{.pool = std::string(text.substr(pool_prefix.size()))};
  }
  return std::nullopt;
}

}  // namespace boragehill::agent
