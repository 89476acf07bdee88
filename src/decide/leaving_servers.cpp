#include "decide/leaving_servers.hpp"

namespace boragehill::decide {

bool leaving_servers::on_told(const std::string& server) {
  if (!this->told.insert(server).second) return false;
  this->by_age.push_back(server);
  if (this->by_age.size() <= most) return true;
  this->told.erase(this->by_age.front());
  this->by_age.pop_front();
  return true;
}

}  // namespace boragehill::decide
