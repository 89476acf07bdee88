#include "fleet-test/small_fleet.hpp"

#include <absl/strings/escaping.h>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string_view>
#include <thread>
#include <unistd.h>
#include <utility>

#include "fleet-test/template.hpp"
#include "kernel/json_text.hpp"

namespace boragehill::fleet_test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds poll{20};
constexpr int store_port_offset = 0;
constexpr int caller_port_offset = 1;
constexpr int ready_port_offset = 2;
constexpr int link_port_offset = 3;
constexpr int metrics_port_offset = 4;
constexpr int worker_port_offset = 5;
constexpr int proxy_port_offset = 6;

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

}  // namespace

std::string numbered(const std::string& name, int number) {
  return name + "-" + std::to_string(number);
}

small_fleet::small_fleet(int routers, int workers, int plains, int models,
                         int empty_workers, bool behind_proxies,
                         int keep_alive_s, const std::string& crash_marker)
    : routers(routers),
      workers(workers),
      plains(plains),
      models(models),
      behind_proxies(behind_proxies),
      keep_alive_s(keep_alive_s),
      crash_marker(crash_marker) {
  // Runs beside each other get ports of their own.
  constexpr int first_port = 20000;
  constexpr int port_step = 8;
  constexpr int port_steps = 1200;
  this->port_base = first_port + port_step * (::getpid() % port_steps);
  this->folder = (std::filesystem::temp_directory_path() /
                  ("boragehill-fleet-" + std::to_string(::getpid())))
                     .string();
  std::filesystem::create_directories(this->folder);
  const auto place = [this](const std::string& machine) {
    const auto last = this->addresses.size() + 2;
    this->addresses[machine] = "127.0.1." + std::to_string(last);
  };
  place("store");
  this->add_standin("store", "rows", {"--threads=256"});
  for (int each = 1; each <= workers; ++each) {
    const auto name = numbered("worker", each);
    place(name);
    std::vector<std::string> flags;
    if (each <= workers - empty_workers) {
      flags.push_back(this->disk_flag());
      flags.push_back("--cached_memory=" + numbered("model", each));
    }
    this->add_worker(name, "i-" + name, flags);
    this->add_own("agent-" + std::to_string(each), "agent", name);
  }
  for (int each = 1; each <= plains; ++each) {
    const auto name = numbered("plain", each);
    place(name);
    this->add_plain(name, "i-" + name);
  }
  for (int each = 1; each <= routers; ++each) {
    const auto name = numbered("router", each);
    place(name);
    this->add_own(name, "router", name);
  }
}

small_fleet::~small_fleet() {
  // What a graceful stop does is tested by itself.
  for (auto& [name, each] : this->processes) each->kill();
  this->processes.clear();
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

std::string small_fleet::address_of(const std::string& machine) const {
  return this->addresses.at(machine);
}

void small_fleet::add(const std::string& name,
                      const std::vector<std::string>& arguments) {
  this->processes[name] = std::make_unique<process_test::process>(
      arguments, this->folder + "/" + name + ".log");
}

void small_fleet::add_standin(const std::string& name, const std::string& kind,
                              const std::vector<std::string>& flags) {
  const int offset = kind == "rows" ? store_port_offset : worker_port_offset;
  std::vector<std::string> arguments{
      environment("BORAGEHILL_STANDIN"), kind,
      "--address=" + this->address_of(name),
      "--port=" + std::to_string(this->port_base + offset)};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  this->add(name, arguments);
}

void small_fleet::set_link(int router, double mbps) {
  const auto name = numbered("router", router);
  this->add_own(name, "router", name, mbps);
}

void small_fleet::set_memory(int router, int megabytes) {
  const auto name = numbered("router", router);
  // Loopback carries more than the usual link of a machine, and a router takes
  // no connections while its link is full.
  constexpr double loopback_mbps = 0;
  this->add_own(name, "router", name, loopback_mbps, megabytes);
}

void small_fleet::set_worker(int number, const std::string& software,
                             const std::string& held) {
  const auto name = numbered("worker", number);
  this->versions[number] = software;
  this->add_worker(
      name, "i-" + name,
      {this->disk_flag(), "--software=" + software, "--cached_memory=" + held});
}

void small_fleet::hide_starts() {
  this->tells_starts = false;
  this->add_workers_again();
}

void small_fleet::crash_servers_on(const std::string& body_marker, bool workers,
                                   milliseconds after) {
  this->crash_marker = body_marker;
  this->crash_delay = after;
  for (int each = 1; each <= this->plains; ++each) {
    const auto name = numbered("plain", each);
    this->add_plain(name, "i-" + name);
  }
  if (!workers) return;
  this->worker_crash_marker = body_marker;
  this->add_workers_again();
}

void small_fleet::add_workers_again() {
  for (int each = 1; each <= this->workers; ++each) {
    const auto name = numbered("worker", each);
    this->add_worker(
        name, "i-" + name,
        {this->disk_flag(), "--cached_memory=" + numbered("model", each)});
  }
}

void small_fleet::add_own(const std::string& name, const std::string& role,
                          const std::string& machine, double link_mbps,
                          int memory_mb) {
  const std::string ip = this->address_of(machine);
  const auto at = [&](const std::string& address, int offset) {
    return address + ":" + std::to_string(this->port_base + offset);
  };
  const std::map<std::string, std::string> values{
      {"node", name},
      {"zone", "zone-1"},
      {"ip", ip},
      {"portRange.0", std::to_string(this->port_base + link_port_offset)},
      {"platform.addr", this->advertised("store")},
      {"listen.front", at(ip, caller_port_offset)},
      {"listen.ready", at(ip, ready_port_offset)},
      {"app", at(ip, worker_port_offset)},
      {"service", "assist"},
      {"limits.linkMbps", std::to_string(link_mbps)},
      {"limits.memoryMb", std::to_string(memory_mb)},
      {"bounds.graceS", "8"},
      {"bounds.budgetRatio", "0.2"},
      {"bounds.budgetExtra", "54"},
      {"bounds.budgetWindowS", "10"}};
  const std::string path = this->folder + "/" + name + ".toml";
  std::ofstream(path) << filled(deploy_file(role + ".toml"), values);
  this->add(name, {environment("BORAGEHILL"), role, "--settings", path});
}

bool small_fleet::start() {
  (*this)["store"].start();
  this->await_standin("store");
  this->configure(1, "/plain/");
  // A caller that is there before the first server has registered is refused,
  // as it should be; tests that call at once need the servers.
  for (const auto& name : this->servers()) (*this)[name].start();
  for (const auto& name : this->servers()) this->await_standin(name);
  for (auto& [name, each] : this->processes) each->start();
  constexpr milliseconds limit{10000};
  for (int each = 1; each <= this->routers; ++each) {
    if (!this->wait_until_ready(each, limit)) return false;
  }
  return true;
}

std::vector<std::string> small_fleet::servers() const {
  std::vector<std::string> names;
  for (int each = 1; each <= this->workers; ++each) {
    names.push_back(numbered("worker", each));
  }
  for (int each = 1; each <= this->plains; ++each) {
    names.push_back(numbered("plain", each));
  }
  return names;
}

void small_fleet::await_standin(const std::string& name) const {
  const auto at = this->real_address(name);
  httplib::Client standin(at.address, at.port);
  for (int tries = 0; tries < 250; ++tries) {
    if (standin.Get("/standin/ready")) return;
    std::this_thread::sleep_for(poll);
  }
}

void small_fleet::post(const std::string& standin, const std::string& path,
                       const std::string& body) {
  const int offset =
      standin == "store" ? store_port_offset : worker_port_offset;
  httplib::Client client(this->address_of(standin), this->port_base + offset);
  client.Post(path, body, "application/json");
}

bool small_fleet::is_ready(int router) {
  httplib::Client client(this->address_of(numbered("router", router)),
                         this->port_base + ready_port_offset);
  const auto answer = client.Get("/readyz");
  return answer && answer->status == 200;
}

std::optional<double> small_fleet::metric(int router, const std::string& name) {
  httplib::Client client(this->address_of(numbered("router", router)),
                         this->port_base + metrics_port_offset);
  const auto answer = client.Get("/metrics");
  if (!answer) return std::nullopt;
  const std::string line = "\n" + name + " ";
  const auto found = answer->body.find(line);
  if (found == std::string::npos) return std::nullopt;
  return std::strtod(answer->body.c_str() + found + line.size(), nullptr);
}

bool small_fleet::wait_for_catalog(std::int64_t version) {
  constexpr milliseconds apply_time{3000};
  const auto until = std::chrono::steady_clock::now() + apply_time;
  for (int each = 1; each <= this->routers; ++each) {
    while (this->catalog_version(each) != version) {
      if (std::chrono::steady_clock::now() >= until) return false;
      std::this_thread::sleep_for(poll);
    }
  }
  return true;
}

std::int64_t small_fleet::catalog_version(int router) {
  return static_cast<std::int64_t>(
      this->metric(router, "boragehill_catalog_version").value_or(-1));
}

bool small_fleet::wait_for_retries(int router, double count,
                                   const std::string& service) {
  constexpr milliseconds limit{10000};
  const auto end = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    const auto left = this->metric(
        router, "boragehill_retries_left{service=\"" + service + "\"}");
    if (left.value_or(0) >= count) return true;
    std::this_thread::sleep_for(poll);
  }
  return false;
}

bool small_fleet::wait_until_ready(int router, milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    if (this->is_ready(router)) return true;
    std::this_thread::sleep_for(poll);
  }
  return false;
}

Json::Value small_fleet::truth(const std::string& standin) {
  httplib::Client client(this->address_of(standin),
                         this->port_base + worker_port_offset);
  const auto answer = client.Get("/standin/truth");
  if (!answer) return {};
  return kernel::parse_json(answer->body).value_or(Json::Value());
}

int small_fleet::runs_of(const std::string& attempt) {
  int count = 0;
  for (int each = 1; each <= this->workers; ++each) {
    count += this->truth(numbered("worker", each))["runs"][attempt].asInt();
  }
  for (int each = 1; each <= this->plains; ++each) {
    count += this->truth(numbered("plain", each))["runs"][attempt].asInt();
  }
  return count;
}

bool small_fleet::orders_were_sound() {
  for (int each = 1; each <= this->workers; ++each) {
    const auto told = this->truth(numbered("worker", each));
    if (told["overcommitted"].asInt() > 0) return false;
    if (told["holders"].asInt() > 1) return false;
    if (told["lowered_fences"].asInt() > 0) return false;
  }
  return true;
}

void small_fleet::add_plain(const std::string& name, const std::string& id) {
  const std::string store = this->address_of("store") + ":" +
                            std::to_string(this->port_base + store_port_offset);
  this->add_standin(
      name, "worker",
      {"--id=" + id, "--service_name=sheets",
       "--store=" + this->real_address("store").to_string(),
       "--advertise=" + this->advertised(name), "--delay_ms=5",
       "--crash_on=" + this->crash_marker,
       "--crash_after_ms=" + std::to_string(this->crash_delay.count())});
}

std::string small_fleet::disk_flag() const {
  std::string flag = "--cached_disk=";
  for (int each = 1; each <= this->models; ++each) {
    flag += numbered("model", each) + (each < this->models ? "," : "");
  }
  return flag;
}

void small_fleet::add_worker(const std::string& name, const std::string& id,
                             const std::vector<std::string>& flags) {
  std::vector<std::string> all{
      "--id=" + id,
      "--service_name=assist",
      "--store=" + this->real_address("store").to_string(),
      "--advertise=" + this->advertised(name),
      "--load_ms_disk=300",
      "--disk_checkpoints=" + std::to_string(places),
      "--delay_ms=20",
      "--keep_alive_s=" + std::to_string(this->keep_alive_s)};
  if (!this->tells_starts) all.emplace_back("--tells_start=false");
  if (!this->worker_crash_marker.empty()) {
    all.push_back("--crash_on=" + this->worker_crash_marker);
    all.push_back("--crash_after_ms=" +
                  std::to_string(this->crash_delay.count()));
  }
  all.insert(all.end(), flags.begin(), flags.end());
  this->add_standin(name, "worker", all);
}

endpoint small_fleet::real_address(const std::string& standin) const {
  const int offset =
      standin == "store" ? store_port_offset : worker_port_offset;
  return {this->address_of(standin),
          static_cast<std::uint16_t>(this->port_base + offset)};
}

endpoint small_fleet::proxy_address(const std::string& standin) const {
  return {this->address_of(standin),
          static_cast<std::uint16_t>(this->port_base + proxy_port_offset)};
}

endpoint small_fleet::caller_address(int router) const {
  return {this->address_of(numbered("router", router)),
          static_cast<std::uint16_t>(this->port_base + caller_port_offset)};
}

std::string small_fleet::advertised(const std::string& name) const {
  return this->behind_proxies ? this->proxy_address(name).to_string()
                              : this->real_address(name).to_string();
}

void small_fleet::fault(const std::string& standin, const std::string& json) {
  this->post(standin, "/standin/fault", json);
}

void small_fleet::write_entry(const std::string& key,
                              const std::string& bytes) {
  this->write_row("servers", key, bytes);
}

void small_fleet::write_row(const std::string& table, const std::string& key,
                            const std::string& bytes) {
  Json::Value call;
  call["table"] = table;
  call["key"] = key;
  call["value"] = absl::Base64Escape(bytes);
  this->post("store", "/standin/put", kernel::write_json(call));
}

void small_fleet::forget_server(const std::string& id) {
  Json::Value call;
  call["table"] = "servers";
  call["key"] = id;
  call["deleted"] = true;
  this->post("store", "/standin/put", kernel::write_json(call));
}

void small_fleet::replace_worker(int number, const std::string& id,
                                 milliseconds register_delay) {
  const auto name = numbered("worker", number);
  (*this)[name].kill();
  std::vector<std::string> flags{
      this->disk_flag(),
      "--register_ms=" + std::to_string(register_delay.count())};
  const auto set = this->versions.find(number);
  if (set != this->versions.end()) flags.push_back("--software=" + set->second);
  this->add_worker(name, id, flags);
  (*this)[name].start();
}

void small_fleet::replace_plain(int number, const std::string& id) {
  const auto name = numbered("plain", number);
  (*this)[name].kill();
  this->add_plain(name, id);
  (*this)[name].start();
  for (int tries = 0; tries < 250; ++tries) {
    if (this->truth(name).isObject()) return;
    std::this_thread::sleep_for(poll);
  }
}

void small_fleet::drain(const std::string& worker) {
  this->post(worker, "/standin/drain", "{}");
}

void small_fleet::crash_on(const std::string& worker,
                           const std::string& marker) {
  Json::Value fault;
  fault["kind"] = "crash_on";
  fault["marker"] = marker;
  this->post(worker, "/standin/fault", kernel::write_json(fault));
}

Json::Value small_fleet::rows(const std::string& table) {
  httplib::Client client(this->address_of("store"),
                         this->port_base + store_port_offset);
  const auto answer = client.Get("/rows-get?table=" + table + "&part=");
  if (!answer) return {};
  return kernel::parse_json(answer->body).value_or(Json::Value());
}

std::string small_fleet::row(const std::string& table, const std::string& key) {
  const auto found = this->rows(table);
  std::string value;
  for (const auto& each : found["rows"]) {
    if (each["key"].asString() != key) continue;
    absl::Base64Unescape(each["value"].asString(), &value);
  }
  return value;
}

std::string small_fleet::entry(const std::string& id) {
  return this->row("servers", id);
}

std::int64_t small_fleet::store_version() {
  return this->rows("boragehill")["ver"].asInt64();
}

void small_fleet::restore_store(std::int64_t version) {
  Json::Value call;
  call["version"] = Json::Int64(version);
  this->post("store", "/standin/restore", kernel::write_json(call));
}

std::string small_fleet::planner() {
  const auto row = kernel::parse_json(this->row("boragehill", "planner"));
  return row ? (*row)["router"].asString() : std::string();
}

}  // namespace boragehill::fleet_test
