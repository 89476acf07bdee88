#ifndef BORAGEHILL_ENGINE_MODEL_HPP
#define BORAGEHILL_ENGINE_MODEL_HPP

#include <cstdint>
#include <string>

namespace boragehill {

/// What an engine does with a model or adapter just now.
enum class engine_model_state { loading, ready, unloading };

/// One model or adapter ("base:adapter") that an engine holds memory for.
struct engine_model {
  std::string name;
  engine_model_state state = engine_model_state::ready;
  std::uint64_t bytes = 0;

  bool operator==(const engine_model&) const = default;
};

}  // namespace boragehill

#endif  // BORAGEHILL_ENGINE_MODEL_HPP
