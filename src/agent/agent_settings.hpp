#ifndef BORAGEHILL_AGENT_AGENT_SETTINGS_HPP
#define BORAGEHILL_AGENT_AGENT_SETTINGS_HPP

#include <cstddef>
#include <cstdint>
#include <string>

#include <boragehill/endpoint.hpp>
#include <boragehill/time_point.hpp>

#include "agent/plugin_choice.hpp"
#include "kernel/settings_document.hpp"

namespace boragehill::agent {

/// What stands beside an agent.
enum class server_kind { model, plain };

/// Everything that an agent's settings file says; docs/OPERATIONS.md
/// lists each key.
struct agent_settings {
  std::string id;
  std::string failure_domain;
  std::string region;
  std::string pool;
  server_kind kind = server_kind::model;
  /// Where the agent listens.
  endpoint control;
  endpoint data;
  /// Where others reach it; the listen addresses unless given.
  endpoint advertised_control;
  endpoint advertised_data;
  milliseconds report_interval{500};
  /// How long an order may be under way before it reaches the engine.
  milliseconds wait_out{5000};
  bool engine_checks_fence = true;
  /// Attempts at once; 0 takes what the engine says.
  std::uint32_t slots = 0;
  /// How long an ended attempt is remembered after its permit's end.
  milliseconds retention{60000};
  /// Room for the answers of ended non-idempotent attempts.
  std::size_t kept_answer_bytes = 64U << 20U;
  /// How long a graceful stop waits for running attempts.
  milliseconds drain{120000};
  plugin_choice backend;
  plugin_choice table;
  plugin_choice vm_list;
  milliseconds vm_list_poll{2000};
  /// File for spans, empty for none.
  std::string trace_file;

  bool operator==(const agent_settings&) const = default;
};

/// Reads the agent's sections; problems stay in the document.
///
///     auto document = kernel::settings_document::read_file("agent.toml");
///     const agent_settings settings = read_agent_settings(document);
///     for (const auto& problem : document.finish()) ...
///
/// \param document The settings file.
/// \return The settings; not to be used if `document.finish()` has problems.
agent_settings read_agent_settings(kernel::settings_document& document);

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_AGENT_SETTINGS_HPP
