#include "decide/version_binding.hpp"

namespace boragehill::decide {

namespace {

class permission {
 public:
  explicit permission(const std::string& software) : software(software) {}

  bool operator()(const any_version&) const { return true; }
  bool operator()(const only_version& bound) const {
    return bound.software == this->software;
  }
  bool operator()(const awaited_version&) const { return false; }
  bool operator()(const unknown_version&) const { return false; }

 private:
  const std::string& software;
};

}  // namespace

bool allows(const version_binding& binding, const std::string& software) {
  return std::visit(permission(software), binding);
}

bool is_bound(const version_binding& binding) {
  return !std::holds_alternative<any_version>(binding);
}

bool is_awaited(const version_binding& binding) {
  return std::holds_alternative<awaited_version>(binding);
}

bool is_unknown(const version_binding& binding) {
  return std::holds_alternative<unknown_version>(binding);
}

std::string bound_software(const version_binding& binding) {
  const auto* bound = std::get_if<only_version>(&binding);
  return bound ? bound->software : std::string();
}

}  // namespace boragehill::decide
