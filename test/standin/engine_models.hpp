#ifndef BORAGEHILL_STANDIN_ENGINE_MODELS_HPP
#define BORAGEHILL_STANDIN_ENGINE_MODELS_HPP

#include <condition_variable>
#include <cstdint>
#include <json/json.h>
#include <map>
#include <mutex>
#include <string>

#include <boragehill/engine_model.hpp>

#include "standin/checkpoint_cache.hpp"
#include "standin/standin_settings.hpp"

namespace boragehill::standin {

/// The models and adapters that an engine holds, and the orders that change
/// them. Thread safe.
class engine_models {
 public:
  explicit engine_models(standin_settings settings);

  /// Carries an order out and waits until it is done.
  ///
  /// \return The HTTP status: 200, 400, 409 (fenced), 502 or 507.
  int carry_out(const Json::Value& order);

  /// Tells whether a model, or an adapter and its base, can run.
  bool is_ready(const std::string& model);

  /// Adds "capacity_bytes", "models" and "cached" to the engine's state.
  void add_state(Json::Value& body);

  /// Adds what truly happened to the truth.
  void add_truth(Json::Value& body);

 private:
  using held_models = std::map<std::string, engine_model>;

  bool is_old(const Json::Value& order) const;
  int load(std::unique_lock<std::mutex>& lock, const std::string& model,
           std::uint64_t bytes);
  int unload(std::unique_lock<std::mutex>& lock, const std::string& model);
  bool fetch(const std::string& model, std::uint64_t bytes,
             checkpoint_tier tier) const;
  void wait_until_settled(std::unique_lock<std::mutex>& lock,
                          const std::string& model);
  bool is_held_ready(const std::string& model) const;
  std::uint64_t held_bytes() const;
  void hold(const std::string& model, engine_model_state state,
            std::uint64_t bytes);
  void record(const std::string& kind, const std::string& model);
  Json::Value models_json() const;

  standin_settings settings;
  std::mutex mutex;
  std::condition_variable changed;
  held_models held;
  checkpoint_cache cache;
  std::uint64_t fence = 0;
  std::uint64_t sequence = 0;
  std::uint64_t max_held = 0;
  std::uint64_t refused = 0;
  std::uint64_t overcommits = 0;
  Json::Value history;
};

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_ENGINE_MODELS_HPP
