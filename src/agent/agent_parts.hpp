#ifndef BORAGEHILL_AGENT_AGENT_PARTS_HPP
#define BORAGEHILL_AGENT_AGENT_PARTS_HPP

#include <memory>

#include <boragehill/backend.hpp>
#include <boragehill/result.hpp>
#include <boragehill/table_service.hpp>
#include <boragehill/vm_list.hpp>

namespace boragehill::agent {

struct agent_settings;

/// The plug-ins an agent works with.
struct agent_parts {
  std::unique_ptr<boragehill::backend> backend;
  std::unique_ptr<table_service> table;
  std::unique_ptr<boragehill::vm_list> vms;
};

/// Makes the plug-ins that the settings name. Errors: unknown_plugin.
result<agent_parts> make_parts(const agent_settings& settings);

}  // namespace boragehill::agent

#endif  // BORAGEHILL_AGENT_AGENT_PARTS_HPP
