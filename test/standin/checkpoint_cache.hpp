#ifndef BORAGEHILL_STANDIN_CHECKPOINT_CACHE_HPP
#define BORAGEHILL_STANDIN_CHECKPOINT_CACHE_HPP

#include <algorithm>
#include <cstddef>
#include <json/json.h>
#include <string>
#include <utility>
#include <vector>

#include <boragehill/checkpoint_tier.hpp>

namespace boragehill::standin {

/// The checkpoints near an engine, the least recently loaded leaving first;
/// not thread safe.
class checkpoint_cache {
 public:
  /// \param memory Those in memory, oldest first, and how many fit.
  /// \param disk Those on disk, oldest first, and how many fit.
  checkpoint_cache(std::pair<std::vector<std::string>, std::size_t> memory,
                   std::pair<std::vector<std::string>, std::size_t> disk)
      : memory(std::move(memory)), disk(std::move(disk)) {}

  checkpoint_tier tier_of(const std::string& model) const {
    if (holds(this->memory.first, model)) return checkpoint_tier::memory;
    if (holds(this->disk.first, model)) return checkpoint_tier::disk;
    return checkpoint_tier::remote;
  }

  /// Takes a checkpoint into memory; the oldest goes to disk, then away.
  void add(const std::string& model) {
    std::erase(this->memory.first, model);
    std::erase(this->disk.first, model);
    this->memory.first.push_back(model);
    while (this->memory.first.size() > this->memory.second) {
      this->disk.first.push_back(this->memory.first.front());
      this->memory.first.erase(this->memory.first.begin());
    }
    while (this->disk.first.size() > this->disk.second) {
      this->disk.first.erase(this->disk.first.begin());
    }
  }

  /// Returns each model's tier by name.
  Json::Value json() const {
    Json::Value tiers(Json::objectValue);
    for (const auto& model : this->disk.first) tiers[model] = "disk";
    for (const auto& model : this->memory.first) tiers[model] = "memory";
    return tiers;
  }

 private:
  static bool holds(const std::vector<std::string>& list,
                    const std::string& model) {
    return std::find(list.begin(), list.end(), model) != list.end();
  }

  std::pair<std::vector<std::string>, std::size_t> memory;
  std::pair<std::vector<std::string>, std::size_t> disk;
};

}  // namespace boragehill::standin

#endif  // BORAGEHILL_STANDIN_CHECKPOINT_CACHE_HPP
