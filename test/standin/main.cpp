#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include "standin/engine_standin.hpp"
#include "standin/object_standin.hpp"
#include "standin/row_standin.hpp"
#include "standin/service_standin.hpp"
#include "standin/standin_server.hpp"
#include "standin/standin_settings.hpp"
#include "standin/table_standin.hpp"
#include "standin/vm_list_standin.hpp"
#include "standin/weight_store_standin.hpp"
#include "standin/worker_standin.hpp"

// NOLINTBEGIN(readability-identifier-naming)
ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(int, port, 0, "port to listen on");
ABSL_FLAG(std::uint32_t, threads, 256, "threads that serve requests");
ABSL_FLAG(int, keep_alive_s, 1, "how long an idle connection is kept");
ABSL_FLAG(double, reads_per_s, 0, "table: cap of reads; 0 is none");
ABSL_FLAG(double, writes_per_s, 0, "table: cap of written rows; 0 is none");
ABSL_FLAG(std::int64_t, lag_ms, 0, "vm_list, engine events: how late it is");
ABSL_FLAG(std::uint32_t, parallel, 4, "weight_store: loads at full speed");
ABSL_FLAG(std::int64_t, load_ms, 1600, "weight_store: a load at full speed");
ABSL_FLAG(std::int64_t, load_ms_memory, 100, "engine: load from memory");
ABSL_FLAG(std::int64_t, load_ms_disk, 400, "engine: load from disk");
ABSL_FLAG(std::int64_t, unload_ms, 20, "engine: an unload");
ABSL_FLAG(std::int64_t, report_lag_ms, 0, "engine, service: load's lag");
ABSL_FLAG(std::int64_t, delay_ms, 0, "service: time that a call takes");
ABSL_FLAG(std::uint32_t, slots, 8, "engine, service: requests at once");
ABSL_FLAG(double, tokens_per_s, 200, "engine: tokens a second and request");
ABSL_FLAG(std::uint64_t, capacity_bytes, 160'000'000'000,
          "engine: accelerator memory");
ABSL_FLAG(std::string, weight_store, "",
          "engine: IP:port; empty loads as disk");
ABSL_FLAG(bool, check_fence, true, "engine: refuse old fencing numbers");
ABSL_FLAG(bool, enforce_memory, false, "engine: refuse overcommitting loads");
ABSL_FLAG(std::uint32_t, memory_checkpoints, 2, "engine: kept in memory");
ABSL_FLAG(std::uint32_t, disk_checkpoints, 8, "engine: kept on disk");
ABSL_FLAG(std::vector<std::string>, cached_memory, {}, "engine: at the start");
ABSL_FLAG(std::vector<std::string>, cached_disk, {}, "engine: at the start");
ABSL_FLAG(std::string, id, "i-1", "worker: its lifetime");
ABSL_FLAG(std::string, service_name, "", "worker: its service");
ABSL_FLAG(std::string, software, "v1", "worker: the version of its software");
ABSL_FLAG(bool, tells_start, true,
          "worker: its entry and reports tell when it started");
ABSL_FLAG(int, register_ms, 0,
          "worker: how long after its start it writes its first entry");
ABSL_FLAG(std::string, advertise, "",
          "worker: IP:port that it registers; empty for its own");
ABSL_FLAG(std::string, store, "", "worker: IP:port of the rows");
ABSL_FLAG(std::string, crash_on, "",
          "the process ends when a request's body holds this");
ABSL_FLAG(std::int64_t, crash_after_ms, 0, "how long such a request runs");
// NOLINTEND(readability-identifier-naming)

namespace {

using boragehill::standin::standin_server;
using boragehill::standin::standin_settings;
using std::chrono::milliseconds;

constexpr int usage_status = 2;

standin_settings read_settings(const std::string& service) {
  return {.service = service,
          .address = absl::GetFlag(FLAGS_address),
          .port = absl::GetFlag(FLAGS_port),
          .threads = absl::GetFlag(FLAGS_threads),
          .keep_alive = std::chrono::seconds(absl::GetFlag(FLAGS_keep_alive_s)),
          .reads_per_s = absl::GetFlag(FLAGS_reads_per_s),
          .writes_per_s = absl::GetFlag(FLAGS_writes_per_s),
          .lag = milliseconds(absl::GetFlag(FLAGS_lag_ms)),
          .parallel = absl::GetFlag(FLAGS_parallel),
          .load = milliseconds(absl::GetFlag(FLAGS_load_ms)),
          .load_memory = milliseconds(absl::GetFlag(FLAGS_load_ms_memory)),
          .load_disk = milliseconds(absl::GetFlag(FLAGS_load_ms_disk)),
          .unload = milliseconds(absl::GetFlag(FLAGS_unload_ms)),
          .report_lag = milliseconds(absl::GetFlag(FLAGS_report_lag_ms)),
          .delay = milliseconds(absl::GetFlag(FLAGS_delay_ms)),
          .slots = absl::GetFlag(FLAGS_slots),
          .tokens_per_s = absl::GetFlag(FLAGS_tokens_per_s),
          .capacity_bytes = absl::GetFlag(FLAGS_capacity_bytes),
          .weight_store = absl::GetFlag(FLAGS_weight_store),
          .check_fence = absl::GetFlag(FLAGS_check_fence),
          .enforce_memory = absl::GetFlag(FLAGS_enforce_memory),
          .memory_checkpoints = absl::GetFlag(FLAGS_memory_checkpoints),
          .disk_checkpoints = absl::GetFlag(FLAGS_disk_checkpoints),
          .cached_memory = absl::GetFlag(FLAGS_cached_memory),
          .cached_disk = absl::GetFlag(FLAGS_cached_disk),
          .id = absl::GetFlag(FLAGS_id),
          .service_name = absl::GetFlag(FLAGS_service_name),
          .software = absl::GetFlag(FLAGS_software),
          .tells_start = absl::GetFlag(FLAGS_tells_start),
          .register_delay = milliseconds(absl::GetFlag(FLAGS_register_ms)),
          .advertise = absl::GetFlag(FLAGS_advertise),
          .store = absl::GetFlag(FLAGS_store),
          .crash_marker = absl::GetFlag(FLAGS_crash_on),
          .crash_delay = milliseconds(absl::GetFlag(FLAGS_crash_after_ms))};
}

int listen(standin_server& server) {
  if (server.listen()) return 0;
  std::cerr << "cannot listen on the port\n";
  return 1;
}

/// Serves with a stand-in that lives as long as the server listens.
template <class Standin, class... Arguments>
int serve(const standin_settings& settings, const Arguments&... arguments) {
  standin_server server(settings);
  Standin standin(arguments..., server);
  return listen(server);
}

int run(const standin_settings& settings) {
  namespace standin = boragehill::standin;
  const std::string& name = settings.service;
  if (name == "object") return serve<standin::object_standin>(settings);
  if (name == "table") {
    return serve<standin::table_standin>(settings, settings);
  }
  if (name == "vm_list") {
    return serve<standin::vm_list_standin>(settings, settings);
  }
  if (name == "weight_store") {
    return serve<standin::weight_store_standin>(settings, settings);
  }
  if (name == "engine") {
    return serve<standin::engine_standin>(settings, settings);
  }
  if (name == "service") {
    return serve<standin::service_standin>(settings, settings);
  }
  if (name == "rows") return serve<standin::row_standin>(settings);
  if (name == "worker") {
    return serve<standin::worker_standin>(settings, settings);
  }
  std::cerr << "unknown service: " << name << "\n";
  return usage_status;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "boragehill_standin table|object|vm_list|weight_store|engine|service|"
      "rows|worker --port N");
  const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  if (arguments.size() != 2) {
    std::cerr << absl::ProgramUsageMessage() << "\n";
    return usage_status;
  }
  return run(read_settings(arguments[1]));
}
