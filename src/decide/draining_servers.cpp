#include "decide/draining_servers.hpp"

namespace boragehill::decide {

bool draining_servers::add(const std::string& server) {
  if (!this->servers.insert(server).second) return false;
  this->insertion_order.push_back(server);
  if (this->insertion_order.size() <= max_remembered) return true;
  this->servers.erase(this->insertion_order.front());
  this->insertion_order.pop_front();
  return true;
}

}  // namespace boragehill::decide
