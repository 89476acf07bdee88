#include "agent/agent_parts.hpp"

#include <utility>

#include <boragehill/result_code.hpp>

#include "agent/agent_settings.hpp"
#include "kernel/registry.hpp"

namespace boragehill::agent {

namespace {

template <class Interface>
result<std::unique_ptr<Interface>> make(const plugin_choice& choice) {
  return kernel::registry<Interface>::instance().make(choice.plugin,
                                                      choice.settings);
}

}  // namespace

result<agent_parts> make_parts(const agent_settings& settings) {
  auto backend = make<boragehill::backend>(settings.backend);
  if (!backend) return backend.error();
  auto table = make<table_service>(settings.table);
  if (!table) return table.error();
  auto vms = make<boragehill::vm_list>(settings.vm_list);
  if (!vms) return vms.error();
  return agent_parts{.backend = std::move(backend).value(),
                     .table = std::move(table).value(),
                     .vms = std::move(vms).value()};
}

}  // namespace boragehill::agent
