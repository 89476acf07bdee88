#include "router/router.hpp"

#include <atomic>
#include <thread>
#include <utility>
#include <variant>

#include <boragehill/object_store.hpp>
#include <boragehill/table_service.hpp>
#include <boragehill/vm_info.hpp>
#include <boragehill/vm_list.hpp>

#include "decide/catalog.hpp"
#include "kernel/duty.hpp"
#include "kernel/event_log.hpp"
#include "kernel/file_span_recorder.hpp"
#include "kernel/null_span_recorder.hpp"
#include "kernel/random.hpp"
#include "kernel/registry.hpp"
#include "kernel/task_pool.hpp"
#include "kernel/tracer.hpp"
#include "router/admin_listener.hpp"
#include "router/caller_listener.hpp"
#include "router/catalog_duty.hpp"
#include "router/control_methods.hpp"
#include "router/conviction_book.hpp"
#include "router/done_duty.hpp"
#include "router/fleet.hpp"
#include "router/heartbeat_duty.hpp"
#include "router/home_duty.hpp"
#include "router/home_link.hpp"
#include "router/load_pacer.hpp"
#include "router/once_desk.hpp"
#include "router/permit_desk.hpp"
#include "router/placement_duty.hpp"
#include "router/published_config.hpp"
#include "router/publisher.hpp"
#include "router/pulse_duty.hpp"
#include "router/renewal_duty.hpp"
#include "router/request_log.hpp"
#include "router/router_metrics.hpp"
#include "router/router_outbox.hpp"
#include "router/shared_retry_budget.hpp"
#include "router/vm_duty.hpp"
#include "wire/rpc_client.hpp"
#include "wire/rpc_server.hpp"

namespace boragehill::router {

namespace {

constexpr std::size_t home_ring = 16384;
constexpr std::size_t call_threads = 8;
constexpr std::size_t call_waiting = 8192;
constexpr std::size_t control_threads = 8;
constexpr std::size_t control_waiting = 4096;
constexpr std::size_t incarnation_digits = 8;
constexpr std::size_t requests_explained = 1024;
constexpr std::size_t convictions_kept = 10000;
constexpr milliseconds drain_poll{20};

template <class Interface>
result<std::unique_ptr<Interface>> make_plugin(const service_settings& wanted) {
  return kernel::registry<Interface>::instance().make(wanted.plugin,
                                                      wanted.settings);
}

std::unique_ptr<kernel::span_recorder> make_recorder(const std::string& file) {
  if (file.empty()) return std::make_unique<kernel::null_span_recorder>();
  return std::make_unique<kernel::file_span_recorder>(file);
}

vm_info own_vm(const router_settings& settings) {
  return {.id = settings.id,
          .role = vm_role::router,
          .state = vm_state::live,
          .control = settings.control,
          .data = settings.callers,
          .failure_domain = settings.failure_domain,
          .region = settings.region,
          .pool = {}};
}

/// The platform's services as this process reaches them.
struct platform_services {
  std::unique_ptr<table_service> table;
  std::unique_ptr<object_store> objects;
  std::unique_ptr<vm_list> vms;
};

result<platform_services> connect(const router_settings& settings) {
  auto table = make_plugin<table_service>(settings.table);
  if (!table) return table.error();
  auto objects = make_plugin<object_store>(settings.objects);
  if (!objects) return objects.error();
  auto vms = make_plugin<vm_list>(settings.vms);
  if (!vms) return vms.error();
  return platform_services{std::move(table.value()), std::move(objects.value()),
                           std::move(vms.value())};
}

}  // namespace

/// The parts in the order in which they depend on each other, so that the
/// members' destruction takes them down from the callers inwards.
struct router::inner {
  inner(router_settings given, std::string admin_token,
        platform_services services)
      : settings(std::move(given)),
        token(std::move(admin_token)),
        platform(std::move(services)),
        incarnation(settings.id + "-" + kernel::random_hex(incarnation_digits)),
        traces(make_recorder(settings.trace_file)),
        rpc(wire::rpc_client_settings{.connect_timeout =
                                          settings.call_timeout}),
        members(own_vm(settings), settings.members),
        config(settings.revision, time_point::clock::now()),
        convictions(convictions_kept, settings.strikes.retention),
        log(requests_explained),
        budget(settings.retry_share, settings.retry_burst),
        calls("calls", call_threads, call_waiting),
        pacer({.max_parallel = settings.home.max_parallel_loads,
               .initial_load_time = settings.home.initial_load_time.back()}),
        outbox(members, pacer, desk, rpc, calls, settings.call_timeout),
        home(settings.home, settings.strikes, home_ring, outbox),
        homes(members, home, rpc, settings.call_timeout),
        done(homes),
        renewals(desk, homes, calls, settings.renew),
        published(*platform.table),
        placements(*platform.table),
        placement(placements, members, config, home, rpc, calls,
                  settings.placement_poll, settings.call_timeout),
        catalogs(published, *platform.table, members, config, convictions, home,
                 placement, rpc, settings.catalog_poll, settings.call_timeout),
        heartbeats(incarnation, members, config, convictions, catalogs, home,
                   rpc, calls, settings.heartbeat_peers, settings.heartbeat,
                   settings.call_timeout),
        vms(*platform.vms, members, home, settings.vm_poll),
        once(*platform.table, *platform.objects, rpc, settings.call_timeout,
             settings.inline_answer_bytes),
        driver{.members = members,
               .homes = homes,
               .desk = desk,
               .done = done,
               .once = once,
               .rpc = rpc,
               .calls = calls,
               .traces = traces,
               .budget = budget,
               .metrics = metrics,
               .limits = settings.flow,
               .incarnation = incarnation,
               .call_timeout = settings.call_timeout},
        callers({.listen = settings.callers,
                 .threads = settings.caller_threads,
                 .waiting = settings.caller_waiting,
                 .max_body_bytes = settings.max_body_bytes,
                 .default_deadline = settings.default_deadline},
                driver, config, convictions, log),
        control({.listen = settings.control,
                 .worker_threads = control_threads,
                 .queue = control_waiting}),
        methods{.members = members,
                .config = config,
                .home = home,
                .pacer = pacer,
                .desk = desk,
                .placement = placement,
                .heartbeats = heartbeats,
                .log = log,
                .draining = draining,
                .call_timeout = settings.call_timeout},
        admin_access{.members = members,
                     .config = config,
                     .published = published,
                     .catalogs = catalogs,
                     .home = home,
                     .log = log,
                     .rpc = rpc,
                     .call_timeout = settings.call_timeout},
        admin(settings.admin, token, admin_access),
        pulse({.members = members,
               .config = config,
               .home = home,
               .placement = placement,
               .callers = callers,
               .metrics = metrics,
               .rpc = rpc,
               .control = control,
               .once = once,
               .retention = settings.once_retention}) {
    this->outbox.connect(this->home, this->placement, this->convictions);
    add_control_methods(this->control, this->methods);
  }

  void start_duties() {
    this->home.start();
    this->done.start();
    this->renewals.start();
    this->placement.start();
    this->catalogs.start();
    this->heartbeats.start();
    this->vms.start();
    this->pulse.start();
  }

  router_settings settings;
  std::string token;
  platform_services platform;
  std::string incarnation;
  kernel::tracer traces;
  router_metrics metrics;
  wire::rpc_client rpc;
  fleet members;
  published_config config;
  conviction_book convictions;
  request_log log;
  permit_desk desk;
  shared_retry_budget budget;
  std::atomic<bool> draining{false};
  kernel::task_pool calls;
  load_pacer pacer;
  router_outbox outbox;
  home_duty home;
  home_link homes;
  done_duty done;
  renewal_duty renewals;
  publisher published;
  placement_store placements;
  placement_duty placement;
  catalog_duty catalogs;
  heartbeat_duty heartbeats;
  vm_duty vms;
  once_desk once;
  driver_parts driver;
  caller_listener callers;
  wire::rpc_server control;
  control_parts methods;
  admin_parts admin_access;
  admin_listener admin;
  pulse_duty pulse;
  bool stopped = false;
};

router::router(router_settings settings, std::string token) {
  auto services = connect(settings);
  if (!services) return;
  this->parts = std::make_unique<inner>(std::move(settings), std::move(token),
                                        std::move(services.value()));
}

router::~router() {
  this->stop();
}

result<void> router::start() {
  if (!this->parts) return make_error_code(result_code::unknown_plugin);
  inner& own = *this->parts;
  if (auto bound = own.control.start(); !bound) return bound;
  if (auto bound = own.admin.start(); !bound) return bound;
  own.start_duties();
  return own.callers.start();
}

void router::drain() {
  inner& own = *this->parts;
  kernel::log_event(kernel::event::drain_started,
                    {{"router", own.settings.id}});
  own.callers.begin_lame_duck();
  own.heartbeats.set_draining();
  own.draining = true;
  own.members.on_leaving(own.settings.id);
  std::this_thread::sleep_for(own.settings.lame_duck);
  own.callers.begin_drain();
  const time_point limit = time_point::clock::now() + own.settings.drain;
  while (own.callers.in_flight() > 0 && time_point::clock::now() < limit) {
    std::this_thread::sleep_for(drain_poll);
  }
  kernel::log_event(
      kernel::event::drain_ended,
      {{"router", own.settings.id}, {"in_flight", own.callers.in_flight()}});
}

void router::stop() {
  if (!this->parts || this->parts->stopped) return;
  inner& own = *this->parts;
  own.stopped = true;
  own.callers.stop();
  own.admin.stop();
  own.pulse.stop();
  own.heartbeats.stop();
  own.vms.stop();
  own.catalogs.stop();
  own.placement.stop();
  own.renewals.stop();
  own.done.stop();
  own.control.stop();
  own.home.stop();
  own.calls.stop();
  own.traces.stop();
}

}  // namespace boragehill::router
