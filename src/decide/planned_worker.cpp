#include "decide/planned_worker.hpp"

#include <algorithm>

namespace boragehill::decide {

bool planned_worker::has_target_model(const std::string& model) const {
  const auto& models = this->target.models;
  return std::find(models.begin(), models.end(), model) != models.end();
}

milliseconds planned_worker::load_time(const fleet::model& model) const {
  const auto found = this->local_copies.find(model.name);
  if (found == this->local_copies.end()) return model.store_load;
  return found->second ? model.memory_load : model.disk_load;
}

bool planned_worker::serves(const std::string& model) const {
  if (!this->report || !this->report->find(model)) return false;
  return this->has_target_model(model);
}

}  // namespace boragehill::decide
