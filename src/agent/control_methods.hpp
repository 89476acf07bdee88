#ifndef BORAGEHILL_AGENT_CONTROL_METHODS_HPP
#define BORAGEHILL_AGENT_CONTROL_METHODS_HPP

#include <functional>

namespace boragehill {
class backend;
}
namespace boragehill::wire {
class rpc_server;
}

namespace boragehill::agent {

class brain_link;

/// Adds the methods `agent.*` to a control server.
///
/// \param server The server, not started yet.
/// \param brain Answers them; must outlive the server.
/// \param engine Told of cancelled attempts; must outlive the server.
/// \param drain Called for `agent.drain`.
void add_control_methods(wire::rpc_server& server, const brain_link& brain,
                         backend& engine, std::function<void()> drain);

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_CONTROL_METHODS_HPP
