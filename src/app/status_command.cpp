// `status` and `explain`: the fleet at a glance, and why it did what it did.

#include <iostream>

#include "app/admin_client.hpp"
#include "app/command_registry.hpp"
#include "app/explain_log.hpp"
#include "app/log_file.hpp"
#include "app/output.hpp"

namespace boragehill::app {

namespace {

using table = std::vector<std::vector<std::string>>;

std::string text_of(const Json::Value& value) {
  return value.isNull() ? "-" : value.asString();
}

void print_routers(const Json::Value& status) {
  table rows{
      {"ROUTER", "DOMAIN", "REVISION", "CONFIRMED_MS", "WAITING", "PERMITS"}};
  for (const auto& router : status["routers"]) {
    if (router["unreachable"].asBool()) {
      rows.push_back({text_of(router["router"]), "unreachable"});
      continue;
    }
    rows.push_back(
        {text_of(router["router"]), text_of(router["failure_domain"]),
         text_of(router["revision"]), text_of(router["confirmed_ms"]),
         text_of(router["waiting"]), text_of(router["permits_out"])});
  }
  print_table(rows);
}

void print_targets(const Json::Value& status) {
  table rows{{"TARGET", "SEEN_BY", "WAITING", "SERVERS"}};
  for (const auto& router : status["routers"]) {
    for (const auto& target : router["targets"]) {
      std::string servers;
      for (const auto& server : target["servers"]) {
        if (!servers.empty()) servers += " ";
        servers += server["id"].asString() + "=" + server["state"].asString();
      }
      rows.push_back({text_of(target["target"]), text_of(router["router"]),
                      text_of(target["waiting"]), servers});
    }
  }
  std::cout << "\n";
  print_table(rows);
}

void print_servers(const Json::Value& status) {
  table rows{{"SERVER", "SEEN_BY", "AGE_MS", "RUNNING", "SLOTS", "FREE_BYTES",
              "STATE"}};
  for (const auto& router : status["routers"]) {
    for (const auto& server : router["servers"]) {
      std::string state = server["backend_up"].asBool() ? "up" : "backend down";
      if (server["draining"].asBool()) state = "leaving";
      rows.push_back({text_of(server["id"]), text_of(router["router"]),
                      text_of(server["report_age_ms"]),
                      text_of(server["running"]), text_of(server["slots"]),
                      text_of(server["free_bytes"]), state});
    }
  }
  std::cout << "\n";
  print_table(rows);
}

exit_code run_status(const std::vector<std::string>&) {
  const auto client = client_of_flags();
  if (!client) return exit_code::usage;
  const auto answer = client->get("status");
  if (answer.code != exit_code::ok) {
    std::cerr << "boragehill: " << answer.error << "\n";
    return answer.code;
  }
  if (wants_json()) {
    print_json(answer.body);
    return exit_code::ok;
  }
  print_routers(answer.body);
  print_targets(answer.body);
  print_servers(answer.body);
  return exit_code::ok;
}

void print_notes(const Json::Value& notes) {
  table rows{{"AGO_MS", "ATTEMPT", "DECISION"}};
  for (const auto& note : notes) {
    rows.push_back({text_of(note["ago_ms"]), text_of(note["attempt"]),
                    text_of(note["text"])});
  }
  print_table(rows);
}

exit_code run_explain(const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    std::cerr << "boragehill: explain takes a model, pool:NAME or request id\n";
    return exit_code::usage;
  }
  if (wants_log()) return explain_from_log(arguments.front());
  const auto client = client_of_flags();
  if (!client) return exit_code::usage;
  const auto answer = client->get("explain/" + arguments.front());
  if (answer.code != exit_code::ok) {
    std::cerr << "boragehill: " << answer.error << "\n";
    return answer.code;
  }
  if (wants_json()) {
    print_json(answer.body);
    return exit_code::ok;
  }
  const bool of_request = answer.body.isMember("decisions");
  for (const char* key : {"id", "service", "target", "home", "waiting",
                          "estimate_ms", "ending", "took_ms", "message"}) {
    const Json::Value& value = answer.body[key];
    if (value.isNull() || value.asString().empty()) continue;
    std::cout << key << ": " << value.asString() << "\n";
  }
  print_notes(answer.body[of_request ? "decisions" : "notes"]);
  return exit_code::ok;
}

const command_registrar status_command{
    {.name = "status",
     .usage = "status --router IP:PORT --token_file FILE [--output json]",
     .summary = "shows routers, models, queues and servers at a glance",
     .flags = {"router", "token_file", "output"},
     .run = run_status}};

const command_registrar explain_command{
    {.name = "explain",
     .usage = "explain MODEL|pool:NAME|REQUEST_ID --router IP:PORT "
              "--token_file FILE [--output json]; or explain REQUEST_ID "
              "--log FILE|- [--output json]",
     .summary = "shows each decision about it with its reason",
     .flags = {"router", "token_file", "log", "output"},
     .run = run_explain}};

}  // namespace

}  // namespace boragehill::app
