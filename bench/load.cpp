// Open-loop load on a running router: requests are sent when they are due,
// whether or not earlier ones were answered.
//
//   boragehill_load --router=127.0.0.1:17101 --service=valve-assistant
//     --models=valves-70b,valves-70b:spool --rate=20 --seconds=30
//     --arrivals=storm --csv=calls.csv

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <exception>
#include <fstream>
#include <httplib.h>
#include <map>
#include <sstream>
#include <thread>

#include "load_call.hpp"
#include "load_schedule.hpp"

ABSL_FLAG(std::string, router, "127.0.0.1:17101", "the router's IP:port");
ABSL_FLAG(std::string, service, "valve-assistant", "the X-Service header");
ABSL_FLAG(std::string, models, "valves-70b", "models, divided by commas");
ABSL_FLAG(double, rate, 10, "mean requests a second");
ABSL_FLAG(double, seconds, 10, "length of the load");
ABSL_FLAG(std::string, arrivals, "steady", "steady, storm or rush");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the arrivals");
ABSL_FLAG(bool, stream, true, "ask for streams");
ABSL_FLAG(int, max_tokens, 16, "tokens a request");
ABSL_FLAG(std::size_t, threads, 128, "requests under way at once, at most");
ABSL_FLAG(std::string, csv, "", "file for one line a request; none if empty");

namespace boragehill::bench {

namespace {

using clock = std::chrono::steady_clock;

constexpr int read_timeout_seconds = 150;

arrival_kind kind_of(const std::string& name) {
  if (name == "storm") return arrival_kind::storm;
  if (name == "rush") return arrival_kind::rush;
  if (name == "steady") return arrival_kind::steady;
  throw std::invalid_argument("--arrivals is steady, storm or rush");
}

std::vector<std::string> split(const std::string& list) {
  std::vector<std::string> items;
  std::istringstream stream(list);
  for (std::string item; std::getline(stream, item, ',');) {
    items.push_back(item);
  }
  if (items.empty()) throw std::invalid_argument("--models is empty");
  return items;
}

/// Sends the schedule's requests from several threads.
class load_run {
 public:
  load_run(std::vector<load_slot> schedule, std::vector<std::string> names,
           endpoint to)
      : slots(std::move(schedule)),
        models(std::move(names)),
        router(std::move(to)),
        results(this->slots.size()) {}

  std::vector<load_result> run(std::size_t thread_count) {
    this->begin = clock::now();
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < thread_count; ++i) {
      threads.emplace_back([this] { this->work(); });
    }
    for (std::thread& thread : threads) thread.join();
    return std::move(this->results);
  }

 private:
  void work() {
    httplib::Client client(this->router.address, this->router.port);
    client.set_read_timeout(read_timeout_seconds);
    client.set_tcp_nodelay(true);
    for (;;) {
      const std::size_t number = this->next++;
      if (number >= this->slots.size()) return;
      this->results[number] = this->send(client, this->slots[number]);
    }
  }

  load_result send(httplib::Client& client, const load_slot& slot) const {
    const clock::time_point due = this->begin + slot.at;
    std::this_thread::sleep_until(due);
    const std::chrono::duration<double, std::milli> late = clock::now() - due;
    return send_request(client,
                        {.service = absl::GetFlag(FLAGS_service),
                         .model = this->models[slot.model],
                         .stream = absl::GetFlag(FLAGS_stream),
                         .max_tokens = absl::GetFlag(FLAGS_max_tokens)},
                        late.count());
  }

  std::vector<load_slot> slots;
  std::vector<std::string> models;
  endpoint router;
  std::vector<load_result> results;
  clock::time_point begin;
  std::atomic<std::size_t> next{0};
};

void print_quantiles(const char* name, std::vector<double> values) {
  if (values.empty()) {
    std::printf("%-22s none\n", name);
    return;
  }
  std::ranges::sort(values);
  const auto quantile = [&](double share) {
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(share * last)];
  };
  std::printf("%-22s p50 %8.1f  p95 %8.1f  p99 %8.1f  most %8.1f ms\n", name,
              quantile(0.5), quantile(0.95), quantile(0.99), values.back());
}

void report(const std::vector<load_result>& results) {
  std::map<std::string, std::size_t> ends;
  std::vector<double> first;
  std::vector<double> whole;
  std::vector<double> between;
  std::vector<double> late;
  for (const load_result& one : results) {
    ++ends[one.refusal.empty() ? "answered" : one.refusal];
    late.push_back(one.late_ms);
    if (!one.refusal.empty()) continue;
    if (absl::GetFlag(FLAGS_stream)) first.push_back(one.first_token_ms);
    whole.push_back(one.whole_ms);
    between.insert(between.end(), one.between_tokens_ms.begin(),
                   one.between_tokens_ms.end());
  }
  std::printf("%zu requests\n", results.size());
  for (const auto& [end, count] : ends) {
    std::printf("  %-28s %zu\n", end.c_str(), count);
  }
  print_quantiles("first token", std::move(first));
  print_quantiles("between tokens", std::move(between));
  print_quantiles("whole answer", std::move(whole));
  print_quantiles("sent late by", std::move(late));
}

void write_csv(const std::string& path,
               const std::vector<load_result>& results) {
  std::ofstream file(path);
  file << "status,refusal,late_ms,first_token_ms,whole_ms\n";
  for (const load_result& one : results) {
    file << one.status << ',' << one.refusal << ',' << one.late_ms << ','
         << one.first_token_ms << ',' << one.whole_ms << '\n';
  }
}

int run() {
  const auto router = endpoint::parse(absl::GetFlag(FLAGS_router));
  if (!router) throw std::invalid_argument("--router is not IP:port");
  const std::vector<std::string> models = split(absl::GetFlag(FLAGS_models));
  const load_plan plan{.kind = kind_of(absl::GetFlag(FLAGS_arrivals)),
                       .rate = absl::GetFlag(FLAGS_rate),
                       .seconds = absl::GetFlag(FLAGS_seconds),
                       .models = models.size(),
                       .seed = absl::GetFlag(FLAGS_seed)};
  load_run load(draw_schedule(plan), models, *router);
  const auto results = load.run(absl::GetFlag(FLAGS_threads));
  report(results);
  const std::string csv = absl::GetFlag(FLAGS_csv);
  if (!csv.empty()) write_csv(csv, results);
  return 0;
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
