#ifndef BORAGEHILL_DECIDE_TEST_SIMULATED_FLEET_HPP
#define BORAGEHILL_DECIDE_TEST_SIMULATED_FLEET_HPP

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decide/residency_planner.hpp"

namespace boragehill::decide {

/// A fleet of workers with memory for three models each, whose agents apply the
/// decisions of the planner at once.
class simulated_fleet {
 public:
  static constexpr int store_capacity = 4;

  simulated_fleet(int workers, int models, int slots = 64) {
    fleet::service service{.name = "assist",
                           .has_engine = true,
                           .weights_mb = 230,
                           .adapter_places = 2,
                           .slots = slots};
    for (int index = 0; index < models; ++index) {
      service.models.push_back({.name = "m" + std::to_string(index),
                                .weights_mb = 70,
                                .adapter_mb = 1,
                                .store_load = milliseconds(6000),
                                .disk_load = milliseconds(1300),
                                .memory_load = milliseconds(600)});
    }
    auto catalog = std::make_shared<fleet::catalog>();
    catalog->services.push_back(service);
    this->planner.set_catalog(catalog);
    for (int index = 0; index < workers; ++index) {
      const std::string id = "w" + std::to_string(index);
      this->list.servers[id] = {.id = id, .service = "assist", .slots = slots};
      this->reports[id] = {.server = id};
    }
    this->planner.set_servers(this->list, this->now);
  }

  void add_models(const std::string& worker,
                  const std::vector<std::string>& models) {
    for (const auto& name : models) {
      this->reports[worker].models.push_back({name, {}});
    }
  }

  void set_disk_copies(const std::string& worker,
                       const std::vector<std::string>& models) {
    this->reports[worker].on_disk = models;
  }

  void send_reports() {
    for (const auto& [id, report] : this->reports) {
      this->planner.on_report(id, report, this->now);
    }
  }

  void send_demand(std::vector<model_demand> demands,
                   std::vector<model_in_flight> in_flight = {}) {
    this->planner.on_demand_report(
        "r1",
        {.demands = std::move(demands), .in_flight = std::move(in_flight)},
        this->now);
  }

  void send_demand_from(const std::string& router,
                        std::vector<model_demand> demands,
                        std::vector<model_in_flight> in_flight) {
    this->planner.on_demand_report(
        router,
        {.demands = std::move(demands), .in_flight = std::move(in_flight)},
        this->now);
  }

  /// Router r1 reports some workers as unresponsive.
  void send_unresponsive(const std::vector<std::string>& workers,
                         std::vector<model_demand> demands,
                         std::vector<model_in_flight> in_flight) {
    this->planner.on_demand_report("r1",
                                   {.demands = std::move(demands),
                                    .in_flight = std::move(in_flight),
                                    .unresponsive_servers = workers},
                                   this->now);
  }

  void step() { this->planner.step(this->now); }

  /// Updates the reports to match the targets.
  void apply_targets() {
    for (const auto& [id, worker] : this->planner.workers()) {
      auto& report = this->reports[id];
      report.models.clear();
      for (const auto& name : worker.target.models) {
        report.models.push_back({name, {}});
      }
    }
    this->send_reports();
  }

  std::set<std::string> workers_with_target(const std::string& model) const {
    std::set<std::string> found;
    for (const auto& [id, worker] : this->planner.workers()) {
      if (worker.has_target_model(model)) found.insert(id);
    }
    return found;
  }

  /// The store serves four loads at full speed, and the planner knows this from
  /// the start.
  residency_planner planner{
      planner_settings{.initial_store_loads = store_capacity}};
  fleet::server_list list;
  std::map<std::string, fleet::worker_report> reports;
  time_point now{std::chrono::seconds(100)};
};

inline model_demand waiting_demand(const std::string& model, int count = 1) {
  return {.service = "assist",
          .model = model,
          .arrivals = count,
          .waiting = count,
          .weight = static_cast<double>(count)};
}

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_TEST_SIMULATED_FLEET_HPP
