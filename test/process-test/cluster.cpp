#include "process-test/cluster.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <random>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "kernel/json_text.hpp"
#include "process-test/caller.hpp"
#include "process-test/wait_for.hpp"

namespace boragehill::process_test {

namespace {

constexpr std::chrono::seconds start_limit{20};

bool is_free(int port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool bound = ::bind(socket, reinterpret_cast<const sockaddr*>(&address),
                            sizeof address) == 0;
  ::close(socket);
  return bound;
}

/// Returns a port that nobody listens on. It lies below those that the kernel
/// gives to outgoing connections: one of these could take the port of a
/// process that a test has killed and wants to start again.
int free_port() {
  constexpr int first = 20000;
  constexpr int count = 12000;
  static int next = static_cast<int>(std::random_device{}() % count);
  int port = 0;
  do {
    next = (next + 1) % count;
    port = first + next;
  } while (!is_free(port));
  return port;
}

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

}  // namespace

cluster::cluster(cluster_shape wanted) : shape(std::move(wanted)) {
  std::string name = (std::filesystem::temp_directory_path() /
                      "boragehill-process-test-XXXXXX")
                         .string();
  this->folder = mkdtemp(name.data());
  this->token = "token-" + std::to_string(std::random_device{}());
  std::ofstream(this->folder + "/admin.token") << this->token;
  std::filesystem::permissions(
      this->folder + "/admin.token",
      std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
  this->add_standin("table", "table");
  this->add_standin("objects", "object");
  this->add_standin("vms", "vm_list");
  this->add_standin("weights", "weight_store", this->shape.weight_flags);
  this->add_standin("service", "service", this->shape.service_flags);
  auto flags = this->shape.engine_flags;
  flags.insert(flags.end(), {"--weight_store", this->address("weights")});
  for (int i = 1; i <= this->shape.engines; ++i) {
    this->add_standin("engine-" + std::to_string(i), "engine", flags);
  }
  for (int i = 1; i <= this->shape.routers; ++i) this->add_router(i);
  for (int i = 1; i <= this->shape.engines; ++i) {
    this->add_agent("server-" + std::to_string(i),
                    "engine-" + std::to_string(i));
  }
  this->add_agent("server-service", "service");
}

cluster::~cluster() {
  for (const auto& [name, one] : this->processes) one->signal(SIGCONT);
  // The product's processes drain while the stand-ins still answer.
  for (const std::string& name : this->products) (*this)[name].signal(SIGTERM);
  for (const std::string& name : this->products) (*this)[name].stop();
  for (const std::string& name : this->standins) (*this)[name].kill();
  this->processes.clear();
  const bool is_kept = !environment("BORAGEHILL_KEEP_LOGS").empty();
  if (!is_kept) std::filesystem::remove_all(this->folder);
}

bool cluster::start() {
  for (const std::string& name : this->standins) (*this)[name].start();
  const bool is_up = wait_for(start_limit, [this] {
    return std::all_of(this->standins.begin(), this->standins.end(),
                       [this](const std::string& name) {
                         return make_call(
                                    this->port(name),
                                    {.method = "GET", .path = "/standin/ready"})
                                    .status == 200;
                       });
  });
  if (!is_up) return false;
  this->send_list();
  for (const std::string& name : this->products) {
    if (!this->starts_late(name)) (*this)[name].start();
  }
  const bool some_late = this->shape.late_agents > 0;
  constexpr std::chrono::milliseconds late{300};
  // So that the agents that are early have registered.
  if (some_late) std::this_thread::sleep_for(late);
  if (!wait_for(start_limit, [this] { return this->publish(1, 0, 0) > 0; })) {
    return false;
  }
  if (some_late) std::this_thread::sleep_for(late);
  for (const std::string& name : this->products) {
    if (this->starts_late(name)) (*this)[name].start();
  }
  return this->wait_until_ready(start_limit) &&
         wait_for(start_limit, [this] { return this->has_grants(); });
}

bool cluster::starts_late(const std::string& name) const {
  for (int i = 0; i < this->shape.late_agents; ++i) {
    if (name == "server-" + std::to_string(this->shape.engines - i))
      return true;
  }
  return false;
}

process& cluster::operator[](const std::string& name) {
  return *this->processes.at(name);
}

void cluster::fault(const std::string& standin, const std::string& json) {
  make_call(this->port(standin), {.path = "/standin/fault", .body = json});
}

Json::Value cluster::truth(const std::string& standin) {
  return json_of(make_call(this->port(standin),
                           {.method = "GET", .path = "/standin/truth"})
                     .body);
}

std::map<std::string, int> cluster::counts(const std::string& group) {
  std::map<std::string, int> sums;
  for (const std::string& name : this->standins) {
    const Json::Value counted = this->truth(name)[group];
    if (!counted.isObject()) continue;
    for (const std::string& key : counted.getMemberNames()) {
      sums[key] += counted[key].asInt();
    }
  }
  return sums;
}

int cluster::callers(int router) const {
  return this->ports.at("router-" + std::to_string(router) + " callers");
}

int cluster::admin(int router) const {
  return this->ports.at("router-" + std::to_string(router) + " admin");
}

int cluster::port(const std::string& standin) const {
  return this->ports.at(standin);
}

std::uint64_t cluster::publish(int router, std::uint64_t base, int priority) {
  static std::atomic<int> last_publish = 0;
  const reply got =
      make_call(this->admin(router),
                {.method = "PUT",
                 .path = "/admin/v1/profiles?base=" + std::to_string(base) +
                         "&publish_id=" + std::to_string(++last_publish),
                 .body = this->profile(priority),
                 .token = this->token});
  if (got.status != 200) return 0;
  return json_of(got.body)["revision"].asUInt64();
}

std::uint64_t cluster::revision(int router) {
  const std::string name = "router-" + std::to_string(router);
  const Json::Value page = this->admin_page(router, "status");
  for (const auto& status : page["routers"]) {
    if (status["router"] == name) return status["revision"].asUInt64();
  }
  return 0;
}

Json::Value cluster::admin_page(int router, const std::string& page) {
  return json_of(make_call(this->admin(router), {.method = "GET",
                                                 .path = "/admin/v1/" + page,
                                                 .token = this->token})
                     .body);
}

int cluster::home_of(const std::string& target) {
  const std::string home =
      this->admin_page(1, "explain/" + target)["home"].asString();
  return home.empty() ? 0 : std::atoi(home.substr(home.find('-') + 1).c_str());
}

bool cluster::is_ready(int router) const {
  return make_call(this->callers(router), {.method = "GET", .path = "/readyz"})
             .status == 200;
}

bool cluster::wait_until_ready(std::chrono::milliseconds limit) {
  return wait_for(limit, [this] {
    for (int i = 1; i <= this->shape.routers; ++i) {
      if (!this->is_ready(i) || this->revision(i) == 0) return false;
    }
    return true;
  });
}

void cluster::list_as(const std::string& vm, const std::string& state) {
  for (Json::Value& one : this->vms) {
    if (one["id"] == vm) one["state"] = state;
  }
  this->send_list();
}

int cluster::most_replicas(const std::string& model) {
  std::vector<std::pair<std::int64_t, int>> changes;
  for (int i = 1; i <= this->shape.engines; ++i) {
    const Json::Value truth = this->truth("engine-" + std::to_string(i));
    for (const auto& event : truth["history"]) {
      if (event["model"] != model) continue;
      const std::string kind = event["kind"].asString();
      if (kind == "load") changes.emplace_back(event["at_ms"].asInt64(), 1);
      if (kind == "unload") changes.emplace_back(event["at_ms"].asInt64(), -1);
    }
  }
  std::sort(changes.begin(), changes.end());
  int held = 0;
  int most = 0;
  for (const auto& [at, change] : changes) {
    held += change;
    most = std::max(most, held);
  }
  return most;
}

void cluster::add_standin(const std::string& name, const std::string& service,
                          std::vector<std::string> flags) {
  this->address(name);
  std::vector<std::string> command{environment("BORAGEHILL_STANDIN"), service,
                                   "--port",
                                   std::to_string(this->ports.at(name))};
  command.insert(command.end(), flags.begin(), flags.end());
  this->standins.push_back(name);
  this->processes[name] =
      std::make_unique<process>(command, this->folder + "/" + name + ".log");
}

void cluster::add_router(int number) {
  const std::string name = "router-" + std::to_string(number);
  const std::string domain = "domain-" + std::to_string(number);
  Json::Value vm;
  vm["id"] = name;
  vm["role"] = "router";
  vm["control"] = this->address(name + " control");
  vm["data"] = this->address(name + " callers");
  vm["failure_domain"] = domain;
  this->vms.push_back(vm);
  const std::string settings =
      "[router]\nid = \"" + name + "\"\nregion = \"local\"\n" +
      "failure_domain = \"" + domain + "\"\ncallers = \"" +
      this->address(name + " callers") + "\"\ncontrol = \"" +
      this->address(name + " control") + "\"\nadmin = \"" +
      this->address(name + " admin") + "\"\nadmin_token_file = \"" +
      this->folder + "/admin.token\"\nlame_duck_ms = 1000\n" +
      this->shape.router_keys +
      "\n[home]\nload_remote_ms = 3000\n[object_store]\naddress = \"" +
      this->address("objects") + "\"\n";
  this->add_product(name, "router", settings);
}

void cluster::add_agent(const std::string& name, const std::string& backend) {
  const bool is_plain = backend == "service";
  const std::string domain =
      is_plain ? "domain-1" : "domain-" + name.substr(name.find('-') + 1);
  Json::Value vm;
  vm["id"] = name;
  vm["role"] = is_plain ? "service_server" : "model_server";
  vm["control"] = this->address(name + " control");
  vm["data"] = this->address(name + " data");
  vm["failure_domain"] = domain;
  vm["pool"] = is_plain ? "sheets" : "";
  this->vms.push_back(vm);
  const std::string settings =
      "[agent]\nid = \"" + name + "\"\nregion = \"local\"\nkind = \"" +
      (is_plain ? "plain\"\npool = \"sheets" : "model") +
      "\"\nfailure_domain = \"" + domain + "\"\ncontrol = \"" +
      this->address(name + " control") + "\"\ndata = \"" +
      this->address(name + " data") + "\"\n" + this->shape.agent_keys +
      "\n[backend]\naddress = \"" + this->address(backend) + "\"\n";
  this->add_product(name, "agent", settings);
}

void cluster::add_product(const std::string& name, const std::string& role,
                          const std::string& settings) {
  const std::string file = this->folder + "/" + name + ".toml";
  std::ofstream(file) << settings << "[table]\naddress = \""
                      << this->address("table") << "\"\n[vm_list]\naddress = \""
                      << this->address("vms") << "\"\n";
  this->products.push_back(name);
  this->processes[name] = std::make_unique<process>(
      std::vector<std::string>{environment("BORAGEHILL"), role, "--settings",
                               file},
      this->folder + "/" + name + ".log");
}

void cluster::send_list() {
  Json::Value list;
  list["vms"] = Json::Value(Json::arrayValue);
  for (Json::Value vm : this->vms) {
    if (!vm.isMember("state")) vm["state"] = "live";
    if (vm["state"] == "gone") continue;
    vm["region"] = "local";
    if (!vm.isMember("pool")) vm["pool"] = "";
    list["vms"].append(vm);
  }
  make_call(this->port("vms"),
            {.path = "/standin/vms", .body = kernel::write_json(list)});
}

std::string cluster::address(const std::string& port_name) {
  const auto [found, is_new] = this->ports.try_emplace(port_name, 0);
  if (is_new) found->second = free_port();
  return "127.0.0.1:" + std::to_string(found->second);
}

std::string cluster::profile(int priority) const {
  std::string text =
      "[profile]\nname = \"assistant\"\npools = [\"sheets\"]\n"
      "max_wait_ms = 30000\npriority = " +
      std::to_string(priority) +
      "\n[[once]]\nmethod = \"POST\"\npath = \"/orders\"\n";
  for (int i = 1; i <= this->shape.models; ++i) {
    text += "[[model]]\nname = \"model-" + std::to_string(i) +
            "\"\nbytes = 70000000000\nreplicas = " +
            std::to_string(this->shape.replicas) +
            "\nmax_replicas = " + std::to_string(this->shape.max_replicas) +
            "\nwarm = " + std::to_string(this->shape.warm) + "\n";
  }
  return text;
}

std::map<std::string, int> cluster::grants_by_server() {
  std::map<std::string, std::set<std::string>> models;
  const Json::Value page = this->admin_page(1, "status");
  for (const auto& router : page["routers"]) {
    for (const auto& target : router["targets"]) {
      if (target["target"] == "pool:sheets") continue;
      for (const auto& server : target["servers"]) {
        models[server["id"].asString()].insert(target["target"].asString());
      }
    }
  }
  std::map<std::string, int> counts;
  for (const auto& [server, held] : models) {
    counts[server] = static_cast<int>(held.size());
  }
  return counts;
}

bool cluster::has_grants() {
  std::map<std::string, unsigned> granted;
  const Json::Value page = this->admin_page(1, "status");
  for (const auto& router : page["routers"]) {
    for (const auto& target : router["targets"]) {
      for (const auto& server : target["servers"]) {
        // A server's own report names the replica only once it has read its
        // grant.
        const bool is_pool = target["target"] == "pool:sheets";
        if (!is_pool && !server.isMember("running")) continue;
        ++granted[target["target"].asString()];
      }
    }
  }
  for (int i = 1; i <= this->shape.models; ++i) {
    const auto found = granted.find("model:model-" + std::to_string(i));
    if (found == granted.end()) return false;
    if (found->second < static_cast<unsigned>(this->shape.replicas)) {
      return false;
    }
  }
  return granted["pool:sheets"] > 0;
}

double quantile(std::vector<double> samples, double share) {
  if (samples.empty()) return 0;
  std::sort(samples.begin(), samples.end());
  const auto place = share * static_cast<double>(samples.size() - 1);
  return samples[static_cast<std::size_t>(place)];
}

}  // namespace boragehill::process_test
