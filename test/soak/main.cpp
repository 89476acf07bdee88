#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdint>
#include <cstdio>
#include <fstream>
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
ABSL_FLAG(
    std::string, seeds_file, "",
    "a file with a seed at the begin of each line, run before the others");
// NOLINTEND(readability-identifier-naming)

namespace {

using boragehill::soak::fleet_size;

std::vector<std::uint64_t> read_seeds() {
  std::vector<std::uint64_t> seeds;
  std::ifstream file(absl::GetFlag(FLAGS_seeds_file));
  std::string line;
  while (std::getline(file, line)) {
    if (line.empty() || line.front() == '#') continue;
    seeds.push_back(std::stoull(line));
  }
  for (int each = 0; each < absl::GetFlag(FLAGS_count); ++each) {
    seeds.push_back(absl::GetFlag(FLAGS_seed) + static_cast<unsigned>(each));
  }
  return seeds;
}

bool keeps_promises(std::uint64_t seed, const fleet_size& size) {
  const int seconds = absl::GetFlag(FLAGS_seconds);
  boragehill::soak::soak_run run(seed, std::chrono::seconds(seconds), size);
  const auto broken = run.play();
  for (const auto& each : broken) std::printf("  %s\n", each.c_str());
  if (broken.empty()) return true;
  std::printf(
      "again: BORAGEHILL=... BORAGEHILL_STANDIN=... BORAGEHILL_DEPLOY=... "
      "boragehill_soak --seed=%llu --seconds=%d --routers=%d --workers=%d "
      "--plains=%d --models=%d\n",
      static_cast<unsigned long long>(seed), seconds, size.routers,
      size.workers, size.plains, size.models);
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("plays seeded faults against real processes");
  absl::ParseCommandLine(argc, argv);
  const fleet_size size{.routers = absl::GetFlag(FLAGS_routers),
                        .workers = absl::GetFlag(FLAGS_workers),
                        .plains = absl::GetFlag(FLAGS_plains),
                        .models = absl::GetFlag(FLAGS_models)};
  int passed = 0;
  int failed = 0;
  for (const auto seed : read_seeds()) {
    ++(keeps_promises(seed, size) ? passed : failed);
    std::fflush(stdout);
  }
  std::printf("seeds: %d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
