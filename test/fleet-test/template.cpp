#include "fleet-test/template.hpp"

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

namespace boragehill::fleet_test {

namespace {

/// Leaves the text of sections whose name has a value, and drops the others.
std::string sections_chosen(std::string text,
                            const std::map<std::string, std::string>& values) {
  for (auto begin = text.find("{{#"); begin != std::string::npos;
       begin = text.find("{{#", begin)) {
    const auto open = text.find("}}", begin) + 2;
    const auto name = text.substr(begin + 3, open - begin - 5);
    const auto closing = "{{/" + name + "}}";
    const auto close = text.find(closing, open);
    const auto inside =
        values.contains(name) ? text.substr(open, close - open) : std::string();
    text.replace(begin, close + closing.size() - begin, inside);
  }
  return text;
}

}  // namespace

std::string filled(std::string text,
                   const std::map<std::string, std::string>& values) {
  text = sections_chosen(std::move(text), values);
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
