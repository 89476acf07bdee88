#include "fleet-test/template.hpp"

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace boragehill::fleet_test {

std::string filled(std::string text,
                   const std::map<std::string, std::string>& values) {
  for (auto begin = text.find("{{"); begin != std::string::npos;
       begin = text.find("{{", begin)) {
    const auto end = text.find("}}", begin);
    const auto found = values.find(text.substr(begin + 2, end - begin - 2));
    text.replace(begin, end + 2 - begin,
                 found == values.end() ? std::string() : found->second);
  }
  return text;
}

std::string deploy_file(const std::string& name) {
  const std::ifstream file(std::string(std::getenv("BORAGEHILL_DEPLOY")) + "/" +
                           name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace boragehill::fleet_test
