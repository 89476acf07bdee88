#ifndef BORAGEHILL_AGENT_AGENT_HPP
#define BORAGEHILL_AGENT_AGENT_HPP

#include <memory>

#include <boragehill/endpoint.hpp>
#include <boragehill/result.hpp>

#include "agent/agent_parts.hpp"
#include "agent/agent_settings.hpp"

namespace boragehill::agent {

/// The process beside one backend server: the only issuer of orders to its
/// engine, and the gate for every attempt that runs there.
///
///     agent::agent agent(settings);
///     if (auto started = agent.start(); !started) return started.error();
///     // on SIGTERM:
///     agent.drain();
///     agent.stop();
class agent {
 public:
  /// \param settings Without problems.
  explicit agent(agent_settings settings);
  /// \param settings Without problems.
  /// \param parts Used in place of the plug-ins that the settings name.
  agent(agent_settings settings, agent_parts parts);
  /// Stops it.
  ~agent();

  agent(const agent&) = delete;
  agent& operator=(const agent&) = delete;

  /// Starts all duties and listeners; the table may be down.
  ///
  /// \return Nothing. Errors: unknown_plugin, address_in_use.
  result<void> start();

  /// Stops gracefully: tells the homes, refuses new attempts as not run, and
  /// waits until the running ones ended, at most the settings' drain time.
  void drain();

  /// Returns whether nothing is left to do: it drains, by order or because its
  /// VM leaves, and nothing runs; or a later start of it has taken over.
  bool finished() const;

  /// Stops all duties and listeners; attempts still running are cut off.
  void stop();

  /// Returns where the control server listens.
  endpoint control() const;
  /// Returns where the data server listens.
  endpoint data() const;

 private:
  class impl;
  agent_settings settings;
  agent_parts parts;
  std::unique_ptr<impl> inner;
};

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_AGENT_HPP
