#include "serve/server_state.hpp"

#include <algorithm>

namespace boragehill::serve {

namespace {

void drop(std::vector<fleet::resident_model>& models, const std::string& model,
          const std::string& adapter) {
  if (adapter.empty()) {
    std::erase_if(models, [&](const auto& each) { return each.name == model; });
    return;
  }
  for (auto& each : models) {
    if (each.name != model) continue;
    std::erase(each.adapters, adapter);
  }
}

}  // namespace

bool server_state::serves(const std::string& model, const std::string& adapter,
                          bool follow_planner) const {
  const auto& models =
      follow_planner && this->told ? *this->told : this->entry.models;
  for (const auto& each : models) {
    if (each.name != model) continue;
    if (adapter.empty()) return true;
    return std::find(each.adapters.begin(), each.adapters.end(), adapter) !=
           each.adapters.end();
  }
  return false;
}

void server_state::forget(const std::string& model,
                          const std::string& adapter) {
  if (this->told) drop(*this->told, model, adapter);
  drop(this->entry.models, model, adapter);
}

}  // namespace boragehill::serve
