#ifndef BORAGEHILL_DECIDE_RESIDENCY_NAME_HPP
#define BORAGEHILL_DECIDE_RESIDENCY_NAME_HPP

#include <string>

#include <boragehill/model_ref.hpp>

namespace boragehill::decide {

/// Returns whether a name is that of an adapter ("base:adapter").
inline bool is_adapter(const std::string& name) {
  return name.find(':') != std::string::npos;
}

/// Returns the base model of "base" or "base:adapter".
inline std::string base_of(const std::string& name) {
  return model_ref::parse(name).base;
}

}  // namespace boragehill::decide

#endif  // BORAGEHILL_DECIDE_RESIDENCY_NAME_HPP
