// Time of the pure decisions on the request path, at a quarter, a half and the
// whole of the size planned for two years: the argument of each benchmark.

#include <algorithm>
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <boragehill/engine_state.hpp>
#include <boragehill/server_record.hpp>

#include "decide/admission.hpp"
#include "decide/membership.hpp"
#include "decide/placement_choice.hpp"
#include "decide/rendezvous.hpp"
#include "decide/request_flow.hpp"
#include "decide/residency.hpp"
#include "decide/target_name.hpp"
#include "fleet_fixture.hpp"
#include "wire/field_codec.hpp"
#include "wire/peer_heartbeat.hpp"

namespace boragehill::bench {

namespace {

fleet_size size_of(const benchmark::State& state) {
  return fleet_size{}.quarters(static_cast<std::size_t>(state.range(0)));
}

/// Models that one router is home of, over 390 models at 340 routers and two
/// homes for each model: the share of the busiest is below this.
constexpr std::size_t homed_models = 8;

void home_warm_request(benchmark::State& state) {
  const fleet_size size = size_of(state);
  decide::home home = make_home(size, homed_models);
  std::uint64_t number = 0;
  const time_point now = at(milliseconds{10});
  for (auto _ : state) {
    const auto ask = make_ask(number % homed_models, number);
    ++number;
    benchmark::DoNotOptimize(home.request_permit(ask, now));
    home.on_attempt_end({.attempt = ask.attempt, .target = ask.target}, now);
    home.take_actions();
  }
}

void home_report(benchmark::State& state) {
  decide::home home = make_home(size_of(state), homed_models);
  std::int64_t clock = 1;
  for (auto _ : state) {
    const auto report =
        make_report(0, {model_name(0), model_name(1), model_name(2)},
                    milliseconds{clock++});
    home.on_report(report, at(milliseconds{10}));
    home.take_actions();
  }
}

void home_tick(benchmark::State& state) {
  decide::home home = make_home(size_of(state), homed_models);
  for (auto _ : state) {
    home.tick(at(milliseconds{100}));
    home.take_actions();
  }
}

/// A tick with a thousand requests that wait for eight loads.
void home_tick_in_storm(benchmark::State& state) {
  const fleet_size size = size_of(state);
  decide::home home(decide::home_settings{},
                    decide::crash_attribution_settings{});
  home.on_catalog(make_catalog(size), at(milliseconds{0}));
  for (std::uint64_t i = 0; i < 1000; ++i) {
    home.request_permit(make_ask(i % homed_models, i), at(milliseconds{1}));
  }
  for (auto _ : state) {
    home.tick(at(milliseconds{100}));
    home.take_actions();
  }
}

void order_of_homes(benchmark::State& state) {
  std::vector<std::string> routers;
  for (std::size_t i = 0; i < size_of(state).routers; ++i) {
    routers.push_back(router_name(i));
  }
  const std::string target = decide::model_target(model_name(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(decide::rank_homes(target, routers, 3));
  }
}

void catalog_lookup(benchmark::State& state) {
  const fleet_size size = size_of(state);
  const decide::catalog catalog = make_catalog(size);
  const std::string last = model_name(size.models - 1);
  for (auto _ : state) {
    const profile* owner = catalog.profile_of("assistant");
    benchmark::DoNotOptimize(decide::allows_model(*owner, last, "adapter-9"));
    benchmark::DoNotOptimize(catalog.spec_of(last));
  }
}

void placement_choice(benchmark::State& state) {
  const auto request = make_placement(size_of(state));
  for (auto _ : state) {
    benchmark::DoNotOptimize(decide::choose_grant_servers(request));
  }
}

void live_routers(benchmark::State& state) {
  decide::membership members{decide::membership_settings{}};
  members.on_vm_list(make_vms(size_of(state)), at(milliseconds{0}));
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        members.live_routers("region-0", at(milliseconds{100})));
  }
}

void read_vm_list(benchmark::State& state) {
  decide::membership members{decide::membership_settings{}};
  const auto vms = make_vms(size_of(state));
  for (auto _ : state) members.on_vm_list(vms, at(milliseconds{0}));
}

void admit_attempt(benchmark::State& state) {
  decide::admission admission{decide::attempt_registry_settings{}};
  admission.set_fencing_number(1);
  admission.set_slots(64);
  std::int64_t clock = 0;
  std::uint64_t number = 0;
  for (auto _ : state) {
    const time_point now = at(milliseconds{clock++});
    const decide::attempt_offer offer{.id = {"router-17-5f3a", ++number, 1},
                                      .fence = 1,
                                      .permit_end = now + milliseconds{2000}};
    benchmark::DoNotOptimize(admission.decide(offer, result_code::ok, now));
    admission.end(offer.id, true);
    admission.remove_expired(now);
  }
  state.counters["remembered"] =
      static_cast<double>(admission.known_attempts());
}

void wake_ready_model(benchmark::State& state) {
  constexpr std::uint64_t bytes = 70'000'000'000;
  engine_state engine{.incarnation = "e1",
                      .capacity_bytes = 8 * 80'000'000'000ULL,
                      .slots = 64};
  server_record record{.id = "server-0", .fence = 1};
  for (std::size_t i = 0; i < 8; ++i) {
    engine.models.push_back({model_name(i), engine_model_state::ready, bytes});
    record.grants.push_back({model_name(i), bytes});
  }
  decide::residency held({}, at(milliseconds{0}));
  held.on_fence_taken(1, at(milliseconds{0}));
  held.on_engine_state(engine, at(milliseconds{1}));
  held.on_grants(record, at(milliseconds{1}), at(milliseconds{2}));
  held.take_actions();
  for (auto _ : state) {
    benchmark::DoNotOptimize(held.on_load_request(
        {.model = model_name(3), .bytes = bytes}, at(milliseconds{10})));
    held.take_actions();
  }
}

void whole_request_flow(benchmark::State& state) {
  const time_point now = at(milliseconds{0});
  std::uint64_t number = 0;
  for (auto _ : state) {
    decide::request_flow flow(
        {.incarnation = "router-17-5f3a",
         .sequence = ++number,
         .target = "model:catalogue-70b-1",
         .deadline = now + milliseconds{30000}},
        {}, [] { return true; }, [] { return 7U; });
    benchmark::DoNotOptimize(flow.begin(now));
    benchmark::DoNotOptimize(
        flow.on_permit({.attempt = flow.attempt().to_string(),
                        .state = wire::permit_state::granted,
                        .server = "server-1"},
                       now));
  }
}

/// Returns the bytes of the heap in use by what `make` returns.
template <class Make>
double heap_bytes(const Make& make) {
  const std::size_t before = mallinfo2().uordblks;
  const auto held = make();
  benchmark::DoNotOptimize(held);
  return static_cast<double>(mallinfo2().uordblks - before);
}

void catalog_memory(benchmark::State& state) {
  const fleet_size size = size_of(state);
  for (auto _ : state) {
    state.counters["heap"] = heap_bytes([&] { return make_catalog(size); });
  }
}

void home_memory(benchmark::State& state) {
  const fleet_size size = size_of(state);
  for (auto _ : state) {
    state.counters["heap"] =
        heap_bytes([&] { return make_home(size, homed_models); });
  }
}

/// A thousand, two and four thousand requests that wait at one home.
void queue_memory(benchmark::State& state) {
  const auto requests = static_cast<std::uint64_t>(state.range(0)) * 1000;
  for (auto _ : state) {
    state.counters["heap"] = heap_bytes([&] {
      decide::home home(decide::home_settings{},
                        decide::crash_attribution_settings{});
      home.on_catalog(make_catalog(fleet_size{}), at(milliseconds{0}));
      for (std::uint64_t i = 0; i < requests; ++i) {
        home.request_permit(make_ask(i % homed_models, i), at(milliseconds{1}));
      }
      home.take_actions();
      return home;
    });
  }
}

void membership_memory(benchmark::State& state) {
  const fleet_size size = size_of(state);
  for (auto _ : state) {
    state.counters["heap"] = heap_bytes([&] {
      decide::membership members{decide::membership_settings{}};
      members.on_vm_list(make_vms(size), at(milliseconds{0}));
      return members;
    });
  }
}

/// How many models a home that has just started asks grants for; each costs a
/// read of the table.
void grants_asked_at_start(benchmark::State& state) {
  const decide::catalog catalog = make_catalog(size_of(state));
  for (auto _ : state) {
    decide::home home(decide::home_settings{},
                      decide::crash_attribution_settings{});
    home.on_catalog(catalog, at(milliseconds{0}));
    const auto actions = home.take_actions();
    const auto asked = std::ranges::count_if(actions, [](const auto& action) {
      return std::holds_alternative<decide::request_grants>(action);
    });
    state.counters["asked"] = static_cast<double>(asked);
  }
}

template <class Message>
void encode(benchmark::State& state, const Message& message) {
  std::size_t bytes = 0;
  for (auto _ : state) {
    const std::string text = wire::to_text(message);
    bytes = text.size();
    benchmark::DoNotOptimize(text);
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}

template <class Message>
void decode(benchmark::State& state, const Message& message) {
  const std::string text = wire::to_text(message);
  for (auto _ : state) {
    benchmark::DoNotOptimize(wire::from_text<Message>(text));
  }
  state.counters["bytes"] = static_cast<double>(text.size());
}

wire::agent_report report_of(std::size_t replicas) {
  std::vector<std::string> models;
  for (std::size_t i = 0; i < replicas; ++i) models.push_back(model_name(i));
  return make_report(0, models, milliseconds{123456789});
}

wire::peer_heartbeat sample_heartbeat() {
  return {.router = "router-17",
          .incarnation = "router-17-5f3a9c21",
          .control = {"10.0.0.1", 7101},
          .region = "region-0",
          .revision = 54321,
          .confirmed_ms = 1200};
}

wire::permit_answer sample_answer() {
  return {.attempt = "router-17-5f3a9c21.12345.1",
          .state = wire::permit_state::granted,
          .server = "server-123",
          .data = {"10.0.0.1", 7102},
          .control = {"10.0.0.1", 7101},
          .fence = 3,
          .permit_end_ms = 123456789};
}

wire::attempt_end sample_end() {
  return {.attempt = "router-17-5f3a9c21.12345.1",
          .target = "model:catalogue-70b-1",
          .server = "server-123",
          .fingerprint = "9f86d081884c7d659a2feaa0c55ad015"};
}

void quarters(benchmark::internal::Benchmark* bench) {
  bench->Arg(1)->Arg(2)->Arg(4);
}

BENCHMARK(home_warm_request)->Apply(quarters);
BENCHMARK(home_report)->Apply(quarters);
BENCHMARK(home_tick)->Apply(quarters);
BENCHMARK(home_tick_in_storm)->Apply(quarters);
BENCHMARK(order_of_homes)->Apply(quarters);
BENCHMARK(catalog_lookup)->Apply(quarters);
BENCHMARK(placement_choice)->Apply(quarters);
BENCHMARK(live_routers)->Apply(quarters);
BENCHMARK(read_vm_list)->Apply(quarters);
BENCHMARK(catalog_memory)->Apply(quarters)->Iterations(1);
BENCHMARK(home_memory)->Apply(quarters)->Iterations(1);
BENCHMARK(queue_memory)->Apply(quarters)->Iterations(1);
BENCHMARK(membership_memory)->Apply(quarters)->Iterations(1);
BENCHMARK(grants_asked_at_start)->Apply(quarters);
BENCHMARK(admit_attempt);
BENCHMARK(wake_ready_model);
BENCHMARK(whole_request_flow);
BENCHMARK_CAPTURE(encode, agent_report_of_1, report_of(1));
BENCHMARK_CAPTURE(encode, agent_report_of_3, report_of(3));
BENCHMARK_CAPTURE(decode, agent_report_of_1, report_of(1));
BENCHMARK_CAPTURE(decode, agent_report_of_3, report_of(3));
BENCHMARK_CAPTURE(encode, permit_request, make_ask(1, 12345));
BENCHMARK_CAPTURE(decode, permit_request, make_ask(1, 12345));
BENCHMARK_CAPTURE(encode, permit_answer, sample_answer());
BENCHMARK_CAPTURE(encode, attempt_end, sample_end());
BENCHMARK_CAPTURE(encode, peer_heartbeat, sample_heartbeat());
BENCHMARK_CAPTURE(decode, peer_heartbeat, sample_heartbeat());

}  // namespace

}  // namespace boragehill::bench

BENCHMARK_MAIN();
