#include "decide/next_order.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace boragehill::decide {

namespace {

using kind = fleet::worker_order::kind;

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::pair<std::string, std::string> split_adapter(
    const std::string& full_name) {
  const auto slash = full_name.find('/');
  if (slash == std::string::npos) return {full_name, {}};
  return {full_name.substr(0, slash), full_name.substr(slash + 1)};
}

std::size_t count_adapters(const fleet::worker_report& report) {
  std::size_t count = report.coming.size();
  for (const auto& resident : report.models) count += resident.adapters.size();
  return count;
}

std::optional<target_order> unload_unwanted_model(
    const fleet::worker_report& report, const residency_target& target) {
  for (const auto& resident : report.models) {
    if (contains(target.models, resident.name)) continue;
    return target_order{.what = kind::unload, .model = resident.name};
  }
  return std::nullopt;
}

std::optional<target_order> next_model_order(const fleet::worker_report& report,
                                             const residency_target& target,
                                             const fleet::service& service) {
  for (const auto& name : target.models) {
    if (report.find(name)) continue;
    const auto* model = service.find_model(name);
    if (!model) continue;
    if (model->weights_mb <= free_memory_mb(report, service)) {
      return target_order{.what = kind::load, .model = name};
    }
    return unload_unwanted_model(report, target);
  }
  return std::nullopt;
}

std::optional<target_order> unload_unwanted_adapter(
    const fleet::worker_report& report, const residency_target& target) {
  for (const auto& resident : report.models) {
    for (const auto& adapter : resident.adapters) {
      if (contains(target.adapters, resident.name + '/' + adapter)) continue;
      return target_order{
          .what = kind::unload, .model = resident.name, .adapter = adapter};
    }
  }
  return std::nullopt;
}

bool is_missing(const fleet::worker_report& report,
                const std::string& full_name) {
  const auto [model, adapter] = split_adapter(full_name);
  const auto* resident = report.find(model);
  if (!resident || adapter.empty()) return false;
  return !contains(resident->adapters, adapter) &&
         !contains(report.coming, full_name);
}

std::optional<target_order> next_adapter_order(
    const fleet::worker_report& report, const residency_target& target,
    const fleet::service& service) {
  // A worker loads up to this many adapters concurrently.
  constexpr std::size_t max_loading_adapters = 4;
  for (const auto& full_name : target.adapters) {
    if (!is_missing(report, full_name)) continue;
    const auto [name, adapter] = split_adapter(full_name);
    const auto* model = service.find_model(name);
    if (!model) continue;
    const auto slots = static_cast<std::size_t>(service.adapter_places);
    const bool fits = count_adapters(report) < slots &&
                      model->adapter_mb <= free_memory_mb(report, service);
    if (!fits) return unload_unwanted_adapter(report, target);
    if (report.coming.size() >= max_loading_adapters) return std::nullopt;
    return target_order{.what = kind::load, .model = name, .adapter = adapter};
  }
  return std::nullopt;
}

}  // namespace

double free_memory_mb(const fleet::worker_report& report,
                      const fleet::service& service) {
  double free_mb = service.weights_mb;
  for (const auto& resident : report.models) {
    const auto* model = service.find_model(resident.name);
    if (!model) return 0;
    free_mb -= model->weights_mb;
    free_mb -=
        model->adapter_mb * static_cast<double>(resident.adapters.size());
  }
  for (const auto& full_name : report.coming) {
    const auto* model = service.find_model(split_adapter(full_name).first);
    if (!model) return 0;
    free_mb -= model->adapter_mb;
  }
  return free_mb;
}

std::optional<target_order> next_order(const fleet::worker_report& report,
                                       const std::string& loading,
                                       const residency_target& target,
                                       const fleet::service& service) {
  // A worker that executes an order for a model rejects all others, and the
  // model that an earlier incarnation of the agent ordered is unknown.
  if (report.busy || !loading.empty()) return std::nullopt;
  // Adapters first: they load in milliseconds.
  if (auto order = next_adapter_order(report, target, service)) return order;
  return next_model_order(report, target, service);
}

}  // namespace boragehill::decide
