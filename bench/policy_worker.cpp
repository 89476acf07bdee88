#include "policy_worker.hpp"

#include <algorithm>

namespace boragehill::bench {

namespace {

bool holds(const std::deque<std::size_t>& cache, std::size_t model) {
  return std::ranges::find(cache, model) != cache.end();
}

void use(std::deque<std::size_t>& cache, std::size_t model, std::size_t most) {
  std::erase(cache, model);
  cache.push_front(model);
  if (cache.size() > most) cache.pop_back();
}

}  // namespace

checkpoint_tier policy_worker::tier(std::size_t model) const {
  if (holds(this->memory, model)) return checkpoint_tier::memory;
  if (holds(this->disk, model)) return checkpoint_tier::disk;
  return checkpoint_tier::remote;
}

void policy_worker::keep_checkpoint(std::size_t model, std::size_t in_memory,
                                    std::size_t on_disk) {
  use(this->memory, model, in_memory);
  use(this->disk, model, on_disk);
}

}  // namespace boragehill::bench
