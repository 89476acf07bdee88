#include <boragehill/model_ref.hpp>

namespace boragehill {

std::string model_ref::to_string() const {
  if (this->adapter.empty()) return this->base;
  return this->base + ":" + this->adapter;
}

model_ref model_ref::parse(std::string_view text) {
  const auto colon = text.find(':');
  if (colon == std::string_view::npos) return {std::string(text), {}};
  return {std::string(text.substr(0, colon)),
          std::string(text.substr(colon + 1))};
}

}  // namespace boragehill
