#include "decide/catalog.hpp"

#include <algorithm>
#include <utility>

namespace boragehill::decide {

catalog::catalog(std::uint64_t revision, std::vector<profile> profiles)
    : revision_number(revision), profile_list(std::move(profiles)) {
  for (std::size_t i = 0; i < this->profile_list.size(); ++i) {
    const profile& owner = this->profile_list[i];
    for (const auto& service : owner.services) {
      this->profile_index_by_service[service] = i;
    }
    for (const auto& model : owner.models) this->add_model(owner, model);
  }
}

const profile* catalog::profile_of(std::string_view service) const {
  const auto found = this->profile_index_by_service.find(service);
  if (found == this->profile_index_by_service.end()) return nullptr;
  return &this->profile_list[found->second];
}

const model_spec* catalog::spec_of(std::string_view model) const {
  const auto found = this->specs.find(model);
  return found == this->specs.end() ? nullptr : &found->second;
}

void catalog::add_model(const profile& owner, const profile_model& model) {
  model_spec& spec = this->specs[model.name];
  spec.name = model.name;
  spec.bytes = std::max(spec.bytes, model.bytes);
  spec.adapter_bytes = std::max(spec.adapter_bytes, model.adapter_bytes);
  spec.replicas = std::max(spec.replicas, model.replicas);
  spec.max_replicas =
      std::max({spec.max_replicas, model.max_replicas, spec.replicas});
  spec.warm_replicas = std::max(spec.warm_replicas, model.warm);
  spec.cold_start_weight =
      std::max(spec.cold_start_weight, owner.cold_start_weight);
  spec.idle_weight = std::max(spec.idle_weight, owner.idle_weight);
}

bool allows_model(const profile& owner, std::string_view base,
                  std::string_view adapter) {
  const auto named = [&](const profile_model& m) { return m.name == base; };
  const auto model =
      std::find_if(owner.models.begin(), owner.models.end(), named);
  if (model == owner.models.end()) return false;
  if (adapter.empty()) return true;
  const auto& adapters = model->adapters;
  return std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
}

bool allows_pool(const profile& owner, std::string_view pool) {
  return std::find(owner.pools.begin(), owner.pools.end(), pool) !=
         owner.pools.end();
}

bool is_non_idempotent(const profile& owner, std::string_view method,
                       std::string_view path) {
  const auto matches = [&](const once_rule& rule) {
    const bool any_method = rule.method.empty() || rule.method == "*";
    return (any_method || rule.method == method) && path.starts_with(rule.path);
  };
  return std::any_of(owner.non_idempotent.begin(), owner.non_idempotent.end(),
                     matches);
}

}  // namespace boragehill::decide
