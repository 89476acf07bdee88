#include "soak/soak_run.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <thread>

#include "soak/checks.hpp"
#include "soak/fault_plan.hpp"
#include "soak/soak_callers.hpp"

namespace boragehill::soak {

namespace {

using fleet_test::numbered;
using std::chrono::milliseconds;

constexpr milliseconds tick{20};
constexpr int callers = 8;
constexpr int impatient_callers = 4;
constexpr int lookup_callers = 4;
constexpr int resuming_callers = 8;
/// Everything is back after the last fault within this.
constexpr milliseconds recovery_limit{15000};
/// A confirmed configuration is in force on all routers within this.
constexpr milliseconds in_force_limit{3000};
constexpr int versions_on_a_thin_link = 10;
/// A server that has crashed is back after this.
constexpr milliseconds away_after_crash{800};
constexpr std::size_t large_configuration = 30000;
constexpr int ok_status = 200;
/// So long a request runs at a server that ends under it.
constexpr milliseconds run_before_crash{50};

/// What another program may write among the servers' entries.
std::string foreign_bytes(const fault_step& step) {
  constexpr std::array<const char*, 4> entries{
      "\xff\xfe{", "[]", "{}",
      R"({"service":"sheets","addr":"127.0.1.9:1","state":"novel","slots":1})"};
  const auto drawn = static_cast<std::size_t>(step.lasts.count());
  return entries.at(drawn % entries.size());
}

}  // namespace

soak_run::soak_run(std::uint64_t drawn, milliseconds played,
                   const fleet_size& wanted)
    : seed(drawn),
      length(played),
      size(wanted),
      fleet(wanted.routers, wanted.workers, wanted.plains, wanted.models, 0,
            true) {
  if (!this->has_crashes()) return;
  this->fleet.crash_servers_on(crash_marker, wanted.crashing_streams > 0,
                               run_before_crash);
}

bool soak_run::start() {
  for (int each = 1; each <= this->size.workers; ++each) {
    this->worker_ids[each] = "i-" + numbered("worker", each);
  }
  if (this->has_versions()) this->set_versions();
  if (this->size.account_rate > 0) this->set_quota();
  std::vector<std::string> names{"store"};
  for (int each = 1; each <= this->size.workers; ++each) {
    names.push_back(numbered("worker", each));
  }
  for (int each = 1; each <= this->size.plains; ++each) {
    names.push_back(numbered("plain", each));
  }
  for (const auto& each : names) {
    auto& proxy = this->proxies[each] = std::make_unique<fault_proxy>(
        this->fleet.proxy_address(each), this->fleet.real_address(each));
    if (!proxy->start()) return false;
  }
  return this->fleet.start();
}

void soak_run::set_quota() {
  const auto rate = std::to_string(1000 * this->size.account_rate);
  this->fleet.set_accounts(
      std::string(R"([{"name":"callers","unit":"tokens","plainTokens":1000,)") +
      R"("apiKeys":[")" + fleet_test::small_fleet::account_key +
      R"("],"ratePerS":)" + rate + R"(,"burst":)" + rate + "}]");
}

void soak_run::set_versions() {
  const int versions = this->size.versions;
  for (int each = 1; each <= this->size.workers; ++each) {
    // Each model is at servers of all versions, if they are enough.
    const int model = 1 + (each - 1) / versions % this->size.models;
    this->fleet.set_worker(each,
                           "v" + std::to_string(1 + (each - 1) % versions),
                           numbered("model", model));
  }
}

void soak_run::set_writing(int worker) {
  if (!this->has_versions()) return;
  const auto name = numbered("worker", worker);
  this->fleet.fault(name, R"({"kind":"slow_events","ms":60})");
  const auto drawn =
      this->seed + static_cast<unsigned>(worker + this->lifetimes[worker]);
  if (drawn % 2 == 0) this->fleet.fault(name, R"({"kind":"unframed"})");
}

std::vector<std::string> soak_run::play() {
  if (!this->start()) return {"the fleet did not start"};
  std::vector<endpoint> routers;
  for (int each = 1; each <= this->size.routers; ++each) {
    routers.push_back(this->fleet.caller_address(each));
  }
  this->limit_routers();
  soak_callers traffic(routers, this->size.models, this->seed);
  if (this->size.failing_runs) this->fail_plain_runs();
  for (int each = 1; each <= this->size.workers; ++each) {
    this->set_writing(each);
  }
  traffic.start(callers, impatient_callers, lookup_callers,
                this->has_versions() ? resuming_callers : 0);
  for (int each = 1; each <= this->size.crashing_requests; ++each) {
    traffic.start_crashing(this->size.crashing_callers, each, false);
  }
  for (int each = 1; each <= this->size.crashing_streams; ++each) {
    traffic.start_crashing(this->size.crashing_callers, each, true);
  }
  this->play_faults(clock::now());
  this->lift_all();
  const auto lost = this->recover();
  traffic.stop();
  // What a worker still holds may begin to run until its deadline.
  std::this_thread::sleep_for(milliseconds(300));
  for (const auto& each :
       broken_promises(traffic.seen(), this->fleet.all_runs(), this->spans)) {
    this->found.push_back(each);
  }
  for (const auto& each :
       runs_in_vain(traffic.seen(), this->run_begins(), this->spans)) {
    this->found.push_back(each);
  }
  const auto arrivals = this->fleet.logged_arrivals();
  const auto crashes = this->fleet.logged_crashes();
  for (const auto& each : retries_beyond_budget(
           traffic.seen(), arrivals, fleet_test::small_fleet::retry_bound)) {
    this->found.push_back(each);
  }
  if (this->size.account_rate > 0) {
    for (const auto& each :
         runs_beyond_quota(traffic.seen(), this->fleet.logged_runs(),
                           this->size.account_rate)) {
      this->found.push_back(each);
    }
  }
  for (const auto& each : sends_beyond_crash_limit(traffic.seen(), arrivals,
                                                   crashes, this->spans)) {
    this->found.push_back(each);
  }
  for (const auto& each :
       time_beyond_deadline(traffic.seen(), arrivals, this->spans)) {
    this->found.push_back(each);
  }
  if (this->has_versions()) this->check_streams(traffic.streams());
  this->found.insert(this->found.end(), lost.begin(), lost.end());
  if (!this->fleet.orders_were_sound()) {
    this->found.emplace_back("a worker was ordered beyond its memory");
  }
  int answered = 0;
  for (const auto& each : traffic.seen()) {
    if (each.status == ok_status) ++answered;
  }
  std::printf(
      "seed %llu: %zu faults, %zu calls, %d answered, %zu crashes, %zu "
      "broken\n",
      static_cast<unsigned long long>(this->seed), this->spans.size(),
      traffic.seen().size(), answered, crashes.size(), this->found.size());
  if (!this->found.empty()) {
    std::printf("logs: %s\n",
                this->fleet.keep_logs(std::to_string(this->seed)).c_str());
  }
  return this->found;
}

void soak_run::check_streams(const std::vector<stream_record>& streams) {
  for (const auto& each : joined_versions(streams)) {
    this->found.push_back(each);
  }
  for (const auto& each : streams_out_of_order(streams)) {
    this->found.push_back(each);
  }
  int complete = 0;
  int taken_up = 0;
  for (const auto& each : streams) {
    if (each.complete) ++complete;
    if (each.complete && each.tries > 1) ++taken_up;
  }
  std::printf("streams: %zu, %d complete, %d of them after several tries\n",
              streams.size(), complete, taken_up);
}

std::map<std::string, soak_run::clock::time_point> soak_run::run_begins()
    const {
  std::map<std::string, clock::time_point> begins;
  for (const auto& each : this->fleet.logged_runs()) {
    auto& begin = begins[each.attempt];
    begin = std::max(begin, each.at);
  }
  return begins;
}

void soak_run::fail_plain_runs() {
  for (int each = 1; each <= this->size.plains; ++each) {
    this->fleet.fault(numbered("plain", each),
                      R"({"kind":"fail_runs","count":1000000})");
  }
}

void soak_run::limit_routers() {
  if (this->size.router_cpu_percent == 0) return;
  constexpr double whole_core = 100;
  for (int each = 1; each <= this->size.routers; ++each) {
    this->quotas.push_back(std::make_unique<process_test::cpu_quota>(
        this->fleet[numbered("router", each)],
        this->size.router_cpu_percent / whole_core));
  }
}

void soak_run::revive_servers() {
  for (int each = 1; each <= this->size.plains; ++each) {
    this->revive_server(numbered("plain", each), fault_kind::plain_replace,
                        each);
  }
  for (int each = 1; each <= this->size.workers; ++each) {
    this->revive_server(numbered("worker", each), fault_kind::worker_replace,
                        each);
  }
}

void soak_run::revive_server(const std::string& name, fault_kind kind,
                             int number) {
  if (this->fleet[name].is_running()) return;
  const auto now = clock::now();
  const auto [known, is_new] = this->crashed.emplace(name, now);
  if (is_new) {
    this->spans.push_back({kind, number, now - tick, now});
  } else if (now - known->second >= away_after_crash) {
    this->replace({.kind = kind, .target = number});
  }
}

void soak_run::play_faults(clock::time_point begin) {
  for (const auto& step : draw_faults(this->seed, this->length, this->size)) {
    while (clock::now() < begin + step.at) {
      this->end_faults(clock::now());
      this->revive();
      std::this_thread::sleep_for(tick);
    }
    this->begin_fault(step);
  }
}

std::string soak_run::process_of(const fault_step& step) const {
  switch (step.kind) {
    case fault_kind::agent_kill:
    case fault_kind::agent_stop:
    case fault_kind::agent_pause:
      return numbered("agent", step.target);
    case fault_kind::worker_pause:
    case fault_kind::worker_cuts:
      return numbered("worker", step.target);
    case fault_kind::plain_leaves:
    case fault_kind::plain_rests:
    case fault_kind::plain_limited:
    case fault_kind::plain_fails:
      return numbered("plain", step.target);
    case fault_kind::store_link:
    case fault_kind::store_thin:
      return "store";
    case fault_kind::worker_link:
      return step.target <= this->size.workers
                 ? numbered("worker", step.target)
                 : numbered("plain", step.target - this->size.workers);
    default:
      return numbered("router", step.target);
  }
}

void soak_run::begin_fault(const fault_step& step) {
  const auto now = clock::now();
  this->spans.push_back({step.kind, step.target, now, now + step.lasts});
  this->open.push_back({step, now + step.lasts, this->spans.size() - 1});
  switch (step.kind) {
    case fault_kind::store_link:
    case fault_kind::worker_link:
      return this->proxies.at(this->process_of(step))->set(step.link);
    case fault_kind::store_down:
      return this->fleet.fault("store", R"({"kind":"down"})");
    case fault_kind::store_slow:
      return this->fleet.fault("store", R"({"kind":"slow","ms":400})");
    case fault_kind::store_answers_lost:
      return this->fleet.fault("store", R"({"kind":"lose_answers","count":3})");
    case fault_kind::configuration:
      return this->fleet.configure(++this->version, "/plain/");
    case fault_kind::store_silent:
      return this->fleet.fault("store", R"({"kind":"silent"})");
    case fault_kind::foreign_entry:
      return this->fleet.write_entry(numbered("x", step.target),
                                     foreign_bytes(step));
    case fault_kind::plain_leaves:
      return this->fleet.fault(this->process_of(step),
                               R"({"kind":"say_leaving"})");
    case fault_kind::plain_rests:
      return this->fleet.fault(this->process_of(step),
                               R"({"kind":"shed","ms":600})");
    case fault_kind::plain_limited:
      return this->fleet.fault(this->process_of(step),
                               R"({"kind":"limited","per_s":"2"})");
    case fault_kind::worker_cuts:
      return this->fleet.fault(this->process_of(step),
                               R"({"kind":"cut_stream","count":1000000})");
    case fault_kind::plain_fails:
      this->fleet.fault(this->process_of(step),
                        R"({"kind":"fail_runs","count":1000000})");
      // What fails before it runs ends no server.
      return this->fleet.crash_on(this->process_of(step), {});
    case fault_kind::all_routers_kill:
      for (int each = 1; each <= this->size.routers; ++each) {
        this->down.insert(numbered("router", each));
        this->fleet[numbered("router", each)].kill();
      }
      return;
    case fault_kind::store_thin:
      return this->begin_thin_link();
    case fault_kind::worker_replace:
    case fault_kind::worker_restart:
    case fault_kind::plain_replace:
      return this->replace(step);
    default:
      return this->begin_signal(step);
  }
}

void soak_run::begin_thin_link() {
  this->proxies.at("store")->set(link_fault::thin);
  for (int each = 0; each < versions_on_a_thin_link; ++each) {
    this->fleet.configure(++this->version, "/plain/", std::nullopt,
                          large_configuration);
  }
}

void soak_run::begin_signal(const fault_step& step) {
  const auto name = this->process_of(step);
  auto& process = this->fleet[name];
  switch (step.kind) {
    case fault_kind::router_kill:
    case fault_kind::agent_kill:
      this->down.insert(name);
      return process.kill();
    case fault_kind::router_stop:
    case fault_kind::agent_stop:
      this->down.insert(name);
      return process.signal(SIGTERM);
    case fault_kind::router_pause:
    case fault_kind::agent_pause:
    case fault_kind::worker_pause:
      return process.signal(SIGSTOP);
    default:
      return process.signal(SIGHUP);
  }
}

void soak_run::replace(const fault_step& step) {
  if (step.kind == fault_kind::worker_restart) {
    return this->renew_worker(step.target);
  }
  const auto id = numbered("i-new", ++this->replaced);
  if (step.kind != fault_kind::worker_replace) {
    this->crashed.erase(numbered("plain", step.target));
    return this->fleet.replace_plain(step.target, id);
  }
  this->worker_ids[step.target] = id;
  this->renew_worker(step.target);
}

void soak_run::renew_worker(int number) {
  this->crashed.erase(numbered("worker", number));
  this->fleet.replace_worker(number, this->worker_ids[number]);
  if (!this->has_versions()) return;
  ++this->lifetimes[number];
  this->fleet.await_standin(numbered("worker", number));
  this->set_writing(number);
}

void soak_run::end_faults(clock::time_point now) {
  for (auto each = this->open.begin(); each != this->open.end();) {
    if (now < each->until) {
      ++each;
      continue;
    }
    this->end_fault(*each);
    this->spans[each->span].end = clock::now();
    each = this->open.erase(each);
  }
}

void soak_run::end_fault(const open_fault& fault) {
  switch (fault.step.kind) {
    case fault_kind::store_link:
    case fault_kind::store_thin:
    case fault_kind::worker_link:
      return this->proxies.at(this->process_of(fault.step))
          ->set(link_fault::none);
    case fault_kind::router_pause:
    case fault_kind::agent_pause:
    case fault_kind::worker_pause:
      return this->fleet[this->process_of(fault.step)].signal(SIGCONT);
    case fault_kind::store_down:
    case fault_kind::store_slow:
    case fault_kind::store_answers_lost:
    case fault_kind::store_silent:
      return this->fleet.fault("store", R"({"kind":"none"})");
    case fault_kind::plain_rests:
    case fault_kind::plain_limited:
    case fault_kind::plain_fails:
      return this->fleet.fault(this->process_of(fault.step),
                               R"({"kind":"none"})");
    case fault_kind::worker_cuts:
      this->fleet.fault(this->process_of(fault.step), R"({"kind":"none"})");
      return this->set_writing(fault.step.target);
    case fault_kind::plain_leaves:
      this->spans.push_back({fault_kind::plain_replace, fault.step.target,
                             clock::now(), clock::now()});
      return this->replace(fault.step);
    default:
      return;
  }
}

void soak_run::revive() {
  if (this->has_crashes()) this->revive_servers();
  const auto look = [this](const std::string& name) {
    if (this->fleet[name].is_running()) return;
    if (this->down.erase(name) == 0) {
      this->found.push_back(name + " ended by itself");
    }
    this->fleet[name].start();
  };
  for (int each = 1; each <= this->size.routers; ++each) {
    look(numbered("router", each));
  }
  for (int each = 1; each <= this->size.workers; ++each) {
    look(numbered("agent", each));
  }
}

void soak_run::lift_all() {
  this->end_faults(clock::time_point::max());
  for (auto& [name, proxy] : this->proxies) proxy->set(link_fault::none);
  for (int each = 1; each <= this->size.plains; ++each) {
    this->fleet.fault(numbered("plain", each), R"({"kind":"none"})");
    this->fleet.crash_on(numbered("plain", each), {});
  }
  for (int each = 1; each <= this->size.workers; ++each) {
    this->fleet.crash_on(numbered("worker", each), {});
  }
  for (int each = 1; each <= this->size.routers; ++each) {
    this->fleet[numbered("router", each)].signal(SIGCONT);
  }
  for (int each = 1; each <= this->size.workers; ++each) {
    this->fleet[numbered("agent", each)].signal(SIGCONT);
  }
}

bool soak_run::answers(int router, const std::string& model) {
  const auto answer =
      this->fleet.call(router, "probe-" + std::to_string(++this->probes), model,
                       model.empty() ? "/plain/x" : "/stream/x");
  return answer && answer->status == ok_status;
}

std::vector<std::string> soak_run::recover() {
  auto limit = clock::now() + recovery_limit;
  std::vector<std::string> lost;
  const auto wait_for = [&](const std::string& what, const auto& holds) {
    while (!holds()) {
      this->revive();
      if (clock::now() >= limit) return lost.push_back(what);
      std::this_thread::sleep_for(tick);
    }
  };
  for (int each = 1; each <= this->size.routers; ++each) {
    const auto router = numbered("router", each);
    wait_for(router + " is not ready again",
             [&] { return this->fleet.is_ready(each); });
    wait_for(router + " answers no plain call",
             [&] { return this->answers(each, {}); });
  }
  for (int each = 1; each <= this->size.models; ++each) {
    const auto model = numbered("model", each);
    wait_for(model + " is not served", [&] { return this->answers(1, model); });
  }
  this->fleet.configure(++this->version, "/plain/");
  limit = clock::now() + in_force_limit;
  for (int each = 1; each <= this->size.routers; ++each) {
    wait_for(numbered("router", each) + " lacks the newest configuration", [&] {
      return this->fleet.catalog_version(each) == this->version;
    });
  }
  return lost;
}

}  // namespace boragehill::soak
