// Measures tail cold-start time and idle accelerator hours of the product's
// policies and their baselines, on virtual time at the users' sizes.
//
//   boragehill_policy_bench                          a table
//   boragehill_policy_bench --csv=policies.csv       and a file
//   boragehill_policy_bench --check=bench/bounds.toml
//
// Exits with 1 if a bound is broken.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <cstdio>
#include <exception>
#include <fstream>

#include "policy_bounds.hpp"
#include "policy_experiments.hpp"

ABSL_FLAG(std::string, csv, "", "file for all figures; none if empty");
ABSL_FLAG(std::string, check, "", "file of bounds to check; none if empty");

namespace boragehill::bench {

namespace {

void print_scale(const policy_scale& scale) {
  std::printf(
      "\n%s: %zu workers with %zu accelerators in %zu failure domains, %zu "
      "models with %zu grants each;\nstore %.1f loads/s, %u at once; weights "
      "cold_start %g, idle %g\nassumed: load from memory %.0f s, from disk "
      "%.0f s, remote %.1f s of the store then as from disk;\n%zu checkpoints "
      "cached in memory and %zu on disk a worker; one replica an accelerator\n",
      scale.name.c_str(), scale.workers, scale.accelerators,
      scale.failure_domains, scale.models, scale.grants, scale.loads_a_second,
      scale.parallel_loads, scale.cold_start_weight, scale.idle_weight,
      static_cast<double>(scale.load_from_memory.count()) / 1000,
      static_cast<double>(scale.load_from_disk.count()) / 1000,
      scale.parallel_loads / scale.loads_a_second, scale.in_memory,
      scale.on_disk);
  std::printf("%-21s %-7s %-14s %8s %7s %8s %8s %8s %7s %7s %9s %9s %6s\n",
              "question", "load", "way", "requests", "cold%", "p50 s", "p99 s",
              "all p95", "missed%", "loads", "idle h", "weighted", "1 dom.");
}

void print_case(const policy_case& one) {
  const policy_outcome& o = one.outcome;
  std::printf(
      "%-21s %-7s %-14s %8llu %7.1f %8.1f %8.1f %8.1f %7.1f %7llu %9.1f %9.1f "
      "%6llu\n",
      one.question.c_str(), name_of(one.load).c_str(), one.way.c_str(),
      static_cast<unsigned long long>(o.requests), o.cold_share * 100,
      o.cold_p50, o.cold_p99, o.all_p95, o.missed_share * 100,
      static_cast<unsigned long long>(o.loads), o.idle_hours, o.weighted,
      static_cast<unsigned long long>(o.in_one_domain));
}

void write_csv(const std::string& path, const std::vector<policy_case>& cases) {
  std::ofstream file(path);
  file << "scale,question,load,way,requests,cold,missed,loads,cold_p50_s,"
          "cold_p99_s,all_p95_s,idle_hours,weighted,in_one_domain\n";
  for (const policy_case& one : cases) {
    const policy_outcome& o = one.outcome;
    file << one.scale << ',' << one.question << ',' << name_of(one.load) << ','
         << one.way << ',' << o.requests << ',' << o.cold << ',' << o.missed
         << ',' << o.loads << ',' << o.cold_p50 << ',' << o.cold_p99 << ','
         << o.all_p95 << ',' << o.idle_hours << ',' << o.weighted << ','
         << o.in_one_domain << '\n';
  }
}

bool print_verdicts(const std::vector<bound_verdict>& verdicts) {
  bool all_kept = !verdicts.empty();
  for (const bound_verdict& verdict : verdicts) {
    const policy_bound& b = verdict.bound;
    const char* word = verdict.kept ? "kept" : "BROKEN";
    std::printf("%-7s %s %s %s: %s of %s%s%s is %.3f, at most %.3f\n",
                verdict.known ? word : "UNKNOWN", b.scale.c_str(),
                b.question.c_str(), b.load.c_str(), b.figure.c_str(),
                b.way.c_str(), b.against.empty() ? "" : " / ",
                b.against.c_str(), verdict.measured, b.most);
    all_kept = all_kept && verdict.kept;
  }
  return all_kept;
}

int run() {
  std::vector<policy_case> all;
  for (const policy_scale& scale : users_scales()) {
    print_scale(scale);
    for (policy_case& one : run_experiments(scale)) {
      print_case(one);
      all.push_back(std::move(one));
    }
  }
  const std::string csv = absl::GetFlag(FLAGS_csv);
  if (!csv.empty()) write_csv(csv, all);
  const std::string bounds = absl::GetFlag(FLAGS_check);
  if (bounds.empty()) return 0;
  return print_verdicts(check_bounds(read_bounds(bounds), all)) ? 0 : 1;
}

}  // namespace

}  // namespace boragehill::bench

int main(int argc, char** argv) {
  try {
    absl::ParseCommandLine(argc, argv);
    return boragehill::bench::run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}
