#include "fleet_fixture.hpp"

#include <boragehill/profile.hpp>
#include <boragehill/server_record.hpp>

#include "decide/target_name.hpp"

namespace boragehill::bench {

namespace {

constexpr std::uint64_t model_bytes = 70'000'000'000;
constexpr std::uint64_t server_bytes = 8 * 80'000'000'000ULL;
constexpr std::size_t regions = 2;
constexpr std::size_t domains = 3;
constexpr std::uint32_t slots = 64;

std::string region_of(std::size_t number) {
  return "region-" + std::to_string(number % regions);
}

std::string domain_of(std::size_t number) {
  return "domain-" + std::to_string(number / regions % domains);
}

vm_info make_vm(std::string id, std::size_t number, vm_role role) {
  return {.id = std::move(id),
          .role = role,
          .control = {"10.0.0.1", 7101},
          .data = {"10.0.0.1", 7102},
          .failure_domain = domain_of(number),
          .region = region_of(number),
          .pool = role == vm_role::router ? "" : "models"};
}

}  // namespace

std::string model_name(std::size_t number) {
  return "catalogue-70b-" + std::to_string(number);
}

std::string server_name(std::size_t number) {
  return "server-" + std::to_string(number);
}

std::string router_name(std::size_t number) {
  return "router-" + std::to_string(number);
}

time_point at(milliseconds since_start) {
  return time_point{} + std::chrono::hours(1) + since_start;
}

decide::catalog make_catalog(const fleet_size& size) {
  profile all{.name = "assistant", .services = {"assistant"}};
  const std::size_t adapters = size.adapters / size.models;
  for (std::size_t i = 0; i < size.models; ++i) {
    profile_model model{.name = model_name(i), .bytes = model_bytes};
    for (std::size_t a = 0; a < adapters; ++a) {
      model.adapters.push_back("adapter-" + std::to_string(a));
    }
    model.replicas = grants_per_model;
    model.max_replicas = grants_per_model;
    all.models.push_back(std::move(model));
  }
  return {1, {std::move(all)}};
}

std::vector<vm_info> make_vms(const fleet_size& size) {
  std::vector<vm_info> vms;
  for (std::size_t i = 0; i < size.routers; ++i) {
    vms.push_back(make_vm(router_name(i), i, vm_role::router));
  }
  for (std::size_t i = 0; i < size.servers; ++i) {
    vms.push_back(make_vm(server_name(i), i, vm_role::model_server));
  }
  return vms;
}

wire::agent_report make_report(std::size_t server,
                               const std::vector<std::string>& models,
                               milliseconds now) {
  wire::agent_report report{.server = server_name(server),
                            .fence = 1,
                            .now_ms = now.count(),
                            .control = {"10.0.0.1", 7101},
                            .data = {"10.0.0.1", 7102},
                            .failure_domain = domain_of(server),
                            .region = region_of(server),
                            .pool = "models",
                            .capacity_bytes = server_bytes,
                            .free_bytes = server_bytes / 2,
                            .evictable_bytes = model_bytes,
                            .slots = slots,
                            .running = 8};
  for (const std::string& name : models) {
    report.replicas.push_back({.name = name,
                               .state = wire::replica_state::ready,
                               .running = 4,
                               .bytes = model_bytes,
                               .adapters = {"adapter-0", "adapter-1"}});
    report.cached[name] = 1;
  }
  return report;
}

wire::permit_request make_ask(std::size_t model, std::uint64_t number) {
  return {.attempt = "router-17-5f3a9c21." + std::to_string(number) + ".1",
          .entry = {"10.0.0.1", 7101},
          .target = decide::model_target(model_name(model)),
          .adapter = "adapter-0",
          .profile = "assistant",
          .time_left_ms = 30000,
          .fingerprint = "9f86d081884c7d659a2feaa0c55ad015"};
}

decide::placement_request make_placement(const fleet_size& size) {
  decide::placement_request request{.model = model_name(0),
                                    .bytes = model_bytes,
                                    .wanted_grants = grants_per_model,
                                    .max_grants = grants_per_model};
  for (std::size_t i = 0; i < size.servers; ++i) {
    request.servers.push_back({.id = server_name(i),
                               .failure_domain = domain_of(i),
                               .region = region_of(i),
                               .pool = "models",
                               .capacity_bytes = server_bytes,
                               .granted_bytes = model_bytes * (i % 7),
                               .tier = checkpoint_tier::remote});
  }
  return request;
}

decide::home make_home(const fleet_size& size, std::size_t homed) {
  decide::home made(decide::home_settings{},
                    decide::crash_attribution_settings{});
  made.on_catalog(make_catalog(size), at(milliseconds{0}));
  for (std::size_t m = 0; m < homed; ++m) {
    std::vector<std::string> servers;
    for (std::size_t g = 0; g < grants_per_model; ++g) {
      const std::size_t server = m * grants_per_model + g;
      servers.push_back(server_name(server));
      made.on_report(make_report(server, {model_name(m)}, milliseconds{0}),
                     at(milliseconds{0}));
    }
    made.on_servers(decide::model_target(model_name(m)), servers,
                    at(milliseconds{0}));
  }
  made.take_actions();
  return made;
}

}  // namespace boragehill::bench
