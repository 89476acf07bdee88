// Time of one plan and of one choice of a worker, at a quarter, a half and the
// whole of the size planned for two years: 390 models on 600 workers.

#include <benchmark/benchmark.h>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "decide/residency_planner.hpp"
#include "decide/server_choice.hpp"

namespace boragehill::bench {

namespace {

constexpr int whole_models = 390;
constexpr int whole_workers = 600;
constexpr int quarter_count = 4;
constexpr int places = 3;
constexpr int slots = 64;
/// Models that are asked for and stand nowhere, at the whole size, as in the
/// second after demand moved.
constexpr int whole_waiting = 40;

int share_of(int whole, const benchmark::State& state) {
  return whole * static_cast<int>(state.range(0)) / quarter_count;
}

std::string model_name(int number) {
  return "model" + std::to_string(number);
}

fleet::service make_service(int models) {
  fleet::service service{.name = "assist",
                         .has_engine = true,
                         .weights_mb = 230000,
                         .adapter_places = 8,
                         .slots = slots};
  for (int each = 0; each < models; ++each) {
    service.models.push_back({.name = model_name(each),
                              .weights_mb = 70000,
                              .adapter_mb = 66,
                              .store_load = milliseconds(6000),
                              .disk_load = milliseconds(1300),
                              .memory_load = milliseconds(600)});
  }
  return service;
}

fleet::worker_report make_report(int worker, int models) {
  constexpr int copies = 19;
  fleet::worker_report report;
  for (int each = 0; each < places; ++each) {
    report.models.push_back({model_name((worker + each) % (models / 2)), {}});
  }
  for (int each = 0; each < copies; ++each) {
    report.on_disk.push_back(model_name((worker * copies + each) % models));
  }
  return report;
}

decide::demand_report make_demand(int models, int workers, int waiting) {
  decide::demand_report report;
  for (int each = 0; each < waiting; ++each) {
    report.demands.push_back({.service = "assist",
                              .model = model_name(models / 2 + each),
                              .arrivals = 1,
                              .waiting = 1,
                              .weight = 1});
  }
  for (int each = 0; each < workers; ++each) {
    report.in_flight.push_back(
        {"w" + std::to_string(each), model_name(each % (models / 2)), {}, 8});
  }
  return report;
}

void plan(benchmark::State& state) {
  const int models = share_of(whole_models, state);
  const int workers = share_of(whole_workers, state);
  auto catalog = std::make_shared<fleet::catalog>();
  catalog->services.push_back(make_service(models));
  fleet::server_list list;
  for (int each = 0; each < workers; ++each) {
    const std::string id = "w" + std::to_string(each);
    list.servers[id] = {.id = id, .service = "assist", .slots = slots};
  }
  const auto demand =
      make_demand(models, workers, share_of(whole_waiting, state));
  const time_point now{std::chrono::seconds(100)};
  for (auto _ : state) {
    state.PauseTiming();
    decide::residency_planner planner{decide::planner_settings{}};
    planner.set_catalog(catalog);
    planner.set_servers(list, now);
    for (int each = 0; each < workers; ++each) {
      planner.on_report("w" + std::to_string(each), make_report(each, models),
                        now);
    }
    planner.on_demand_report("router", demand, now);
    state.ResumeTiming();
    benchmark::DoNotOptimize(planner.step(now));
  }
}

void choose(benchmark::State& state) {
  const std::vector<decide::server_candidate> servers(
      static_cast<std::size_t>(share_of(whole_workers, state)),
      decide::server_candidate{.own_requests = 3, .slots = slots});
  std::uint64_t random = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(decide::choose_server(
        servers, 0.25, std::numeric_limits<int>::max(), ++random));
  }
}

void quarters(benchmark::internal::Benchmark* bench) {
  bench->Arg(1)->Arg(2)->Arg(4);
}

BENCHMARK(plan)->Apply(quarters)->Unit(benchmark::kMillisecond);
BENCHMARK(choose)->Apply(quarters)->Unit(benchmark::kMicrosecond);

}  // namespace

}  // namespace boragehill::bench

BENCHMARK_MAIN();
