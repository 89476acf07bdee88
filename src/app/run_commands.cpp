// `router`, `agent` and `check-settings`: the commands that read a settings
// file.

#include <cctype>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>

#include "agent/agent.hpp"
#include "agent/agent_settings.hpp"
#include "app/command_registry.hpp"
#include "app/settings_flags.hpp"
#include "app/stop_signal.hpp"
#include "kernel/event_log.hpp"
#include "router/router.hpp"
#include "router/router_settings.hpp"
#include "serve/entry.hpp"
#include "serve/entry_settings.hpp"
#include "sidecar/sidecar.hpp"
#include "sidecar/sidecar_settings.hpp"

namespace boragehill::app {

namespace {

constexpr milliseconds signal_poll{200};

std::optional<router::router_settings> checked_router_settings() {
  auto document = read_settings_file();
  auto settings = router::read_router_settings(document);
  if (!report_problems(document.finish())) return std::nullopt;
  return settings;
}

std::optional<agent::agent_settings> checked_agent_settings() {
  auto document = read_settings_file();
  auto settings = agent::read_agent_settings(document);
  if (!report_problems(document.finish())) return std::nullopt;
  return settings;
}

std::optional<std::string> read_token(const std::string& path) {
  std::ifstream file(path);
  std::string token;
  file >> token;
  if (token.empty()) {
    std::cerr << "boragehill: no token in " << path << "\n";
    return std::nullopt;
  }
  return token;
}

exit_code not_started(const std::string& what, const std::error_code& error) {
  std::cerr << "boragehill: " << what << " not started: " << error.value()
            << " " << error.message() << "\n";
  return exit_code::failed;
}

/// Two words after --set would otherwise start a process without the second.
bool has_stray(const std::vector<std::string>& arguments) {
  if (arguments.empty()) return false;
  std::cerr << "boragehill: \"" << arguments.front()
            << "\" is not expected here; --set takes a list with commas\n";
  return true;
}

/// A file with a [store] table is for the platform's store of rows.
bool is_for_store(kernel::settings_document& document) {
  return document.section("store").present();
}

std::optional<serve::entry_settings> checked_entry_settings() {
  auto document = read_settings_file();
  auto settings = serve::read_entry_settings(document);
  if (!report_problems(document.finish())) return std::nullopt;
  return settings;
}

std::optional<sidecar::sidecar_settings> checked_sidecar_settings() {
  auto document = read_settings_file();
  auto settings = sidecar::read_sidecar_settings(document);
  if (!report_problems(document.finish())) return std::nullopt;
  return settings;
}

bool settings_are_for_store() {
  auto document = read_settings_file();
  return is_for_store(document);
}

void log_started(const char* role, const std::string& id) {
  kernel::start_event_log("boragehill", true);
  kernel::log_to_standard_output();
  kernel::log_event(kernel::event::process_started,
                    {{"role", role}, {"id", id}});
}

/// Says what a reload came to. Addresses are bound and bounds are in use, so a
/// changed file takes effect with the process that is started next.
template <class Settings>
void note_reload(const std::optional<Settings>& news, const Settings& known) {
  kernel::log_event(
      kernel::event::settings_changed,
      {{"readable", news.has_value()}, {"differs", news && !(*news == known)}});
}

exit_code run_entry() {
  const auto settings = checked_entry_settings();
  if (!settings) return exit_code::usage;
  log_started("router", settings->id);
  serve::entry own(*settings);
  if (const auto started = own.start(); !started) {
    return not_started("router " + settings->id, started.error());
  }
  kernel::log_event(kernel::event::process_ready, {{"id", settings->id}});
  while (!wait_for_stop(signal_poll)) {
    if (take_reload()) note_reload(checked_entry_settings(), *settings);
  }
  kernel::log_event(kernel::event::process_stopping, {{"id", settings->id}});
  own.drain();
  own.stop();
  kernel::log_event(kernel::event::process_stopped, {{"id", settings->id}});
  return exit_code::ok;
}

exit_code run_sidecar() {
  const auto settings = checked_sidecar_settings();
  if (!settings) return exit_code::usage;
  log_started("agent", settings->id);
  sidecar::sidecar own(*settings);
  if (const auto started = own.start(); !started) {
    return not_started("agent " + settings->id, started.error());
  }
  kernel::log_event(kernel::event::process_ready, {{"id", settings->id}});
  while (!wait_for_stop(signal_poll)) {
    if (take_reload()) note_reload(checked_sidecar_settings(), *settings);
  }
  kernel::log_event(kernel::event::process_stopping, {{"id", settings->id}});
  own.stop();
  kernel::log_event(kernel::event::process_stopped, {{"id", settings->id}});
  return exit_code::ok;
}

exit_code run_router(const std::vector<std::string>& arguments) {
  if (has_stray(arguments)) return exit_code::usage;
  block_stop_signals();
  if (settings_are_for_store()) return run_entry();
  auto settings = checked_router_settings();
  if (!settings) return exit_code::usage;
  const auto token = read_token(settings->admin_token_file);
  if (!token) return exit_code::usage;
  kernel::start_event_log("boragehill", true);
  const std::string id = settings->id;
  kernel::log_event(kernel::event::process_started,
                    {{"role", "router"}, {"id", id}});
  router::router own(std::move(*settings), *token);
  if (const auto started = own.start(); !started) {
    return not_started("router " + id, started.error());
  }
  kernel::log_event(kernel::event::process_ready, {{"id", id}});
  while (!wait_for_stop(signal_poll)) continue;
  kernel::log_event(kernel::event::process_stopping, {{"id", id}});
  own.drain();
  own.stop();
  kernel::log_event(kernel::event::process_stopped, {{"id", id}});
  return exit_code::ok;
}

exit_code run_agent(const std::vector<std::string>& arguments) {
  if (has_stray(arguments)) return exit_code::usage;
  block_stop_signals();
  if (settings_are_for_store()) return run_sidecar();
  const auto settings = checked_agent_settings();
  if (!settings) return exit_code::usage;
  kernel::start_event_log("boragehill", true);
  kernel::log_event(kernel::event::process_started,
                    {{"role", "agent"}, {"id", settings->id}});
  agent::agent own(*settings);
  if (const auto started = own.start(); !started) {
    return not_started("agent " + settings->id, started.error());
  }
  kernel::log_event(kernel::event::process_ready, {{"id", settings->id}});
  while (!wait_for_stop(signal_poll) && !own.finished()) continue;
  kernel::log_event(kernel::event::process_stopping, {{"id", settings->id}});
  own.drain();
  own.stop();
  kernel::log_event(kernel::event::process_stopped, {{"id", settings->id}});
  return exit_code::ok;
}

exit_code check_settings(const std::vector<std::string>& arguments) {
  const std::string role = arguments.empty() ? "" : arguments.front();
  bool good = false;
  if (role == "router") {
    good = settings_are_for_store() ? checked_entry_settings().has_value()
                                    : checked_router_settings().has_value();
  } else if (role == "agent") {
    good = settings_are_for_store() ? checked_sidecar_settings().has_value()
                                    : checked_agent_settings().has_value();
  } else {
    std::cerr << "boragehill: check-settings takes router or agent\n";
    return exit_code::usage;
  }
  if (!good) return exit_code::usage;
  std::cout << "settings are good\n";
  return exit_code::ok;
}

const command_registrar router_command{
    {.name = "router",
     .usage = "router --settings FILE [--set section.key=value,...]",
     .summary = "runs the process of an entry VM until SIGTERM",
     .flags = {"settings", "set"},
     .run = run_router}};

const command_registrar agent_command{
    {.name = "agent",
     .usage = "agent --settings FILE [--set section.key=value,...]",
     .summary = "runs the process beside a backend server until SIGTERM",
     .flags = {"settings", "set"},
     .run = run_agent}};

const command_registrar check_command{
    {.name = "check-settings",
     .usage = "check-settings router|agent --settings FILE",
     .summary = "reads a settings file, names every problem, starts nothing",
     .flags = {"settings", "set"},
     .run = check_settings}};

}  // namespace

}  // namespace boragehill::app
