#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "soak/soak_run.hpp"

// The command's flags need no other names than their own.
// NOLINTBEGIN(readability-identifier-naming)
ABSL_FLAG(std::uint64_t, seed, 1, "the first seed");
ABSL_FLAG(int, count, 1, "seeds to run, one after the other");
ABSL_FLAG(int, seconds, 10, "length of each run");
ABSL_FLAG(int, routers, 2, "routers");
ABSL_FLAG(int, workers, 3, "model workers, each with an agent");
ABSL_FLAG(int, plains, 3, "plain servers");
ABSL_FLAG(int, models, 5, "models");
ABSL_FLAG(int, kinds, boragehill::soak::fault_kinds,
          "kinds of fault to draw from");
ABSL_FLAG(int, first_kind, 0, "the first kind of fault that is drawn");
ABSL_FLAG(bool, failing_runs, false, "whether all runs at plain servers fail");
ABSL_FLAG(int, crashing_requests, 0, "requests that end plain servers");
ABSL_FLAG(int, crashing_streams, 0, "streams that end model workers");
ABSL_FLAG(int, crashing_callers, 1, "callers that send each of these");
ABSL_FLAG(int, router_cpu_percent, 0,
          "the part of a core that each router has; 0 is no limit");
ABSL_FLAG(int, versions, 1, "versions of the model workers' software");
ABSL_FLAG(int, account_rate, 0,
          "requests a second of the callers' quota; 0 is no quota");
ABSL_FLAG(std::string, seeds_file, "",
          "a file of runs to play before the others");
// NOLINTEND(readability-identifier-naming)

namespace {

using boragehill::soak::fleet_size;

/// One run to play.
struct wanted_run {
  std::uint64_t seed = 0;
  int seconds = 0;
  fleet_size size;
};

std::vector<wanted_run> read_runs(const std::string& path) {
  std::vector<wanted_run> runs;
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream fields(line);
    wanted_run run;
    fields >> run.seed >> run.seconds >> run.size.routers >> run.size.workers >>
        run.size.plains >> run.size.models >> run.size.kinds >>
        run.size.failing_runs >> run.size.crashing_requests >>
        run.size.first_kind >> run.size.versions >> run.size.crashing_streams >>
        run.size.crashing_callers >> run.size.router_cpu_percent >>
        run.size.account_rate;
    if (fields) runs.push_back(run);
  }
  return runs;
}

bool keeps_promises(const wanted_run& wanted) {
  const auto& size = wanted.size;
  boragehill::soak::soak_run run(wanted.seed,
                                 std::chrono::seconds(wanted.seconds), size);
  const auto broken = run.play();
  for (const auto& each : broken) std::printf("  %s\n", each.c_str());
  if (broken.empty()) return true;
  std::printf(
      "again: BORAGEHILL=... BORAGEHILL_STANDIN=... BORAGEHILL_DEPLOY=... "
      "boragehill_soak --seed=%llu --seconds=%d --routers=%d --workers=%d "
      "--plains=%d --models=%d --kinds=%d --failing_runs=%d "
      "--crashing_requests=%d --first_kind=%d --versions=%d "
      "--crashing_streams=%d --crashing_callers=%d --router_cpu_percent=%d "
      "--account_rate=%d\n",
      static_cast<unsigned long long>(wanted.seed), wanted.seconds,
      size.routers, size.workers, size.plains, size.models, size.kinds,
      static_cast<int>(size.failing_runs), size.crashing_requests,
      size.first_kind, size.versions, size.crashing_streams,
      size.crashing_callers, size.router_cpu_percent, size.account_rate);
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("plays seeded faults against real processes");
  absl::ParseCommandLine(argc, argv);
  auto runs = read_runs(absl::GetFlag(FLAGS_seeds_file));
  const fleet_size size{
      .routers = absl::GetFlag(FLAGS_routers),
      .workers = absl::GetFlag(FLAGS_workers),
      .plains = absl::GetFlag(FLAGS_plains),
      .models = absl::GetFlag(FLAGS_models),
      .kinds = absl::GetFlag(FLAGS_kinds),
      .first_kind = absl::GetFlag(FLAGS_first_kind),
      .failing_runs = absl::GetFlag(FLAGS_failing_runs),
      .crashing_requests = absl::GetFlag(FLAGS_crashing_requests),
      .crashing_streams = absl::GetFlag(FLAGS_crashing_streams),
      .crashing_callers = absl::GetFlag(FLAGS_crashing_callers),
      .router_cpu_percent = absl::GetFlag(FLAGS_router_cpu_percent),
      .versions = absl::GetFlag(FLAGS_versions),
      .account_rate = absl::GetFlag(FLAGS_account_rate)};
  int passed = 0;
  int failed = 0;
  for (int each = 0; each < absl::GetFlag(FLAGS_count); ++each) {
    runs.push_back({.seed = absl::GetFlag(FLAGS_seed) + each,
                    .seconds = absl::GetFlag(FLAGS_seconds),
                    .size = size});
  }
  for (const auto& each : runs) {
    ++(keeps_promises(each) ? passed : failed);
    std::fflush(stdout);
  }
  std::printf("seeds: %d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
