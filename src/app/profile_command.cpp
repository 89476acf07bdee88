// `profile`: operators publish and read profiles.

#include <absl/flags/flag.h>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>
#include <variant>

#include "app/admin_client.hpp"
#include "app/command_registry.hpp"
#include "app/line_diff.hpp"
#include "app/output.hpp"
#include "router/profile_toml.hpp"

ABSL_FLAG(std::int64_t, base, -1,
          "profile publish: the revision that the change starts from; -1 takes "
          "the one that stands now");
ABSL_FLAG(std::string, publish_id, "",
          "profile publish: names this publish; random if empty");
ABSL_FLAG(bool, wait, false,
          "profile publish: wait until it is in force at every router");
ABSL_FLAG(int, wait_seconds, 60, "profile publish --wait: for how long");

namespace boragehill::app {

namespace {

constexpr std::chrono::milliseconds wait_poll{500};

exit_code fail(const admin_answer& answer) {
  std::cerr << "boragehill: " << answer.error << "\n";
  return answer.code;
}

std::optional<std::string> read_file(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    std::cerr << "boragehill: can't read " << path << "\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string random_id() {
  std::random_device device;
  std::ostringstream text;
  text << std::hex << device() << device();
  return text.str();
}

/// Returns the routers that do not yet have a revision in force.
std::vector<std::string> lagging(const Json::Value& status,
                                 std::uint64_t revision) {
  std::vector<std::string> names;
  for (const auto& router : status["routers"]) {
    const bool there = !router["unreachable"].asBool() &&
                       router["revision"].asUInt64() >= revision;
    if (!there) names.push_back(router["router"].asString());
  }
  return names;
}

exit_code wait_in_force(const admin_client& client, std::uint64_t revision) {
  const auto limit = std::chrono::steady_clock::now() +
                     std::chrono::seconds(absl::GetFlag(FLAGS_wait_seconds));
  std::vector<std::string> last;
  while (std::chrono::steady_clock::now() < limit) {
    const auto status = client.get("status");
    if (status.code != exit_code::ok) return fail(status);
    last = lagging(status.body, revision);
    if (last.empty()) {
      std::cerr << "in force at all " << status.body["routers"].size()
                << " routers\n";
      return exit_code::ok;
    }
    std::cerr << "waiting for " << last.size() << " of "
              << status.body["routers"].size() << " routers, first "
              << last.front() << "\n";
    std::this_thread::sleep_for(wait_poll);
  }
  std::cerr << "boragehill: accepted, but not yet in force at:";
  for (const auto& name : last) std::cerr << " " << name;
  std::cerr << "\n";
  return exit_code::failed;
}

/// The revision to start from, or why it can't be told.
using base_answer = std::variant<std::uint64_t, exit_code>;

base_answer base_revision(const admin_client& client, const std::string& name) {
  const auto given = absl::GetFlag(FLAGS_base);
  if (given >= 0) return static_cast<std::uint64_t>(given);
  const auto standing = client.get("profiles/" + name);
  if (standing.code == exit_code::ok) {
    return standing.body["revision"].asUInt64();
  }
  const bool absent =
      standing.body["error"]["name"].asString() == "unknown_profile";
  if (absent) return std::uint64_t{0};
  return fail(standing);
}

exit_code publish(const admin_client& client, const std::string& path) {
  const auto source = read_file(path);
  if (!source) return exit_code::usage;
  const auto draft = router::read_profile(*source, path);
  for (const auto& problem : draft.problems) {
    std::cerr << "boragehill: " << problem.to_string() << "\n";
  }
  if (!draft.problems.empty()) return exit_code::usage;
  const auto base = base_revision(client, draft.draft.name);
  if (const auto* failed = std::get_if<exit_code>(&base)) return *failed;
  std::string publish_id = absl::GetFlag(FLAGS_publish_id);
  if (publish_id.empty()) publish_id = random_id();
  const auto answer =
      client.publish(*source, std::get<std::uint64_t>(base), publish_id);
  if (answer.code == exit_code::unconfirmed) {
    std::cerr << "boragehill: ask again with --base "
              << std::get<std::uint64_t>(base) << " --publish_id " << publish_id
              << "\n";
  }
  if (answer.code != exit_code::ok) return fail(answer);
  if (wants_json()) {
    print_json(answer.body);
  } else {
    std::cout << "profile " << draft.draft.name << " accepted at revision "
              << answer.body["revision"].asUInt64() << "\n";
  }
  if (!absl::GetFlag(FLAGS_wait)) return exit_code::ok;
  return wait_in_force(client, answer.body["revision"].asUInt64());
}

std::string date_of(std::int64_t wall_clock_ms) {
  constexpr std::int64_t ms_per_second = 1000;
  const std::time_t seconds = wall_clock_ms / ms_per_second;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::ostringstream text;
  text << std::put_time(&utc, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

std::vector<std::string> row_of(const Json::Value& profile) {
  return {profile["name"].asString(),
          std::to_string(profile["revision"].asUInt64()),
          std::to_string(profile["models"].size()),
          std::to_string(profile["pools"].size()),
          std::to_string(profile["max_wait_ms"].asInt64()),
          date_of(profile["published_at_ms"].asInt64())};
}

exit_code list(const admin_client& client, const std::string& path) {
  const auto answer = client.get(path);
  if (answer.code != exit_code::ok) return fail(answer);
  if (wants_json()) {
    print_json(answer.body);
    return exit_code::ok;
  }
  std::vector<std::vector<std::string>> rows{
      {"NAME", "REVISION", "MODELS", "POOLS", "MAX_WAIT_MS", "PUBLISHED"}};
  for (const auto& profile : answer.body) rows.push_back(row_of(profile));
  print_table(rows);
  return exit_code::ok;
}

exit_code show(const admin_client& client, const std::string& name) {
  const auto answer = client.get("profiles/" + name);
  if (answer.code != exit_code::ok) return fail(answer);
  if (wants_json()) {
    print_json(answer.body);
    return exit_code::ok;
  }
  std::cout << "# revision " << answer.body["revision"].asUInt64() << "\n"
            << answer.body["source"].asString();
  return exit_code::ok;
}

exit_code diff(const admin_client& client, const std::string& name) {
  const auto answer = client.get("profiles/" + name + "/history");
  if (answer.code != exit_code::ok) return fail(answer);
  const Json::ArrayIndex count = answer.body.size();
  if (count == 0) {
    std::cerr << "boragehill: " << name << " has no history\n";
    return exit_code::failed;
  }
  const Json::Value& newest = answer.body[count - 1];
  const std::string before =
      count > 1 ? answer.body[count - 2]["source"].asString() : "";
  std::cout << line_diff(before, newest["source"].asString());
  return exit_code::ok;
}

exit_code wrong_verb() {
  std::cerr << "boragehill: profile takes publish, show, list, history or "
               "diff\n";
  return exit_code::usage;
}

exit_code run_profile(const std::vector<std::string>& arguments) {
  if (arguments.empty()) return wrong_verb();
  const auto client = client_of_flags();
  if (!client) return exit_code::usage;
  const std::string& verb = arguments.front();
  if (verb == "list") return list(*client, "profiles");
  if (arguments.size() < 2) {
    std::cerr << "boragehill: profile " << verb << " takes a name or file\n";
    return exit_code::usage;
  }
  if (verb == "publish") return publish(*client, arguments[1]);
  if (verb == "show") return show(*client, arguments[1]);
  if (verb == "history") {
    return list(*client, "profiles/" + arguments[1] + "/history");
  }
  if (verb == "diff") return diff(*client, arguments[1]);
  return wrong_verb();
}

const command_registrar profile_command{
    {.name = "profile",
     .usage = "profile publish FILE [--wait] [--base N] | show NAME | list | "
              "history NAME | diff NAME, with --router IP:PORT --token_file "
              "FILE [--output json]",
     .summary = "publishes and reads profiles",
     .flags = {"router", "token_file", "output", "base", "publish_id", "wait",
               "wait_seconds"},
     .run = run_profile}};

}  // namespace

}  // namespace boragehill::app
